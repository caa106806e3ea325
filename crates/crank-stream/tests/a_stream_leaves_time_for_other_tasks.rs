//! A reader of a stream that always has bytes pauses after each turn, and fails without progress.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use crank_stream::{FairStream, MAX_TURN_BYTES, Progress};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};

const MAX_UNUSED_BYTES: u64 = 1_000;

/// Reads until the stream is not ready or fails; returns the number of bytes.
fn read_one_turn(stream: &mut FairStream<tokio::io::Repeat>) -> (usize, Poll<ErrorKind>) {
    let mut context = Context::from_waker(Waker::noop());
    let mut bytes = vec![0; 10_000];
    let mut total = 0;
    loop {
        let mut buffer = ReadBuf::new(&mut bytes);
        match Pin::new(&mut *stream).poll_read(&mut context, &mut buffer) {
            Poll::Ready(Ok(())) => total += buffer.filled().len(),
            Poll::Ready(Err(error)) => return (total, Poll::Ready(error.kind())),
            Poll::Pending => return (total, Poll::Pending),
        }
    }
}

#[test]
fn a_turn_ends_after_a_bounded_number_of_bytes() {
    let mut stream = FairStream::new(tokio::io::repeat(b'0'));
    for _ in 0..3 {
        assert_eq!(read_one_turn(&mut stream), (MAX_TURN_BYTES, Poll::Pending));
    }
}

#[test]
fn bytes_without_progress_end_the_stream() {
    let progress = Progress::new();
    let stream = FairStream::new(tokio::io::repeat(b'0'));
    let mut stream = stream.with_limit(progress, MAX_UNUSED_BYTES);
    let (_, end) = read_one_turn(&mut stream);
    assert_eq!(end, Poll::Ready(ErrorKind::InvalidData));
}

#[tokio::test]
async fn progress_lets_more_bytes_pass() {
    let progress = Progress::new();
    let stream = FairStream::new(tokio::io::repeat(b'0'));
    let mut stream = stream.with_limit(progress.clone(), MAX_UNUSED_BYTES);
    let mut bytes = vec![0; MAX_UNUSED_BYTES as usize];
    for _ in 0..500 {
        stream.read_exact(&mut bytes).await.unwrap();
        progress.record();
    }
}

#[test]
fn an_ended_stream_fails_before_it_reads_more() {
    let progress = Progress::new();
    let stream = FairStream::new(tokio::io::repeat(b'0'));
    let mut stream = stream.with_limit(progress.clone(), u64::MAX);
    progress.end();
    let (bytes, end) = read_one_turn(&mut stream);
    assert_eq!((bytes, end), (0, Poll::Ready(ErrorKind::InvalidData)));
}

#[test]
fn a_stream_whose_limit_is_lifted_passes_whole_turns() {
    let progress = Progress::new();
    let stream = FairStream::new(tokio::io::repeat(b'0'));
    let mut stream = stream.with_limit(progress.clone(), MAX_UNUSED_BYTES);
    progress.lift_limit();
    assert_eq!(read_one_turn(&mut stream), (MAX_TURN_BYTES, Poll::Pending));
}

#[tokio::test]
async fn the_bytes_of_a_finite_stream_arrive_whole() {
    let sent: Vec<u8> = (0..3 * MAX_TURN_BYTES + 7)
        .map(|number| number as u8)
        .collect();
    let mut received = Vec::new();
    let mut stream = FairStream::new(sent.as_slice());
    stream.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, sent);
}
