//! A TCP connection on loopback that behaves like one over an ordinary link: segments of 1,460
//! bytes and a small receive window. Both are options of the client's own socket.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;
const SEGMENT_BYTES: c_int = 1_460;

#[repr(C)]
struct SockAddr {
    family: u16,
    port: u16,
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32)
    -> c_int;
    #[link_name = "connect"]
    fn connect_socket(fd: c_int, address: *const SockAddr, length: u32) -> c_int;
}

pub fn connect(address: SocketAddr, window: c_int) -> io::Result<TcpStream> {
    let IpAddr::V4(ip) = address.ip() else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let target = SockAddr {
        family: AF_INET as u16,
        port: address.port().to_be(),
        address: ip.octets(),
        zero: [0; 8],
    };
    // SAFETY: plain calls of the C library; the descriptor is owned by the stream at once.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        set(fd, SOL_SOCKET, SO_RCVBUF, window)?;
        set(fd, IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES)?;
        if connect_socket(fd, &target, size_of::<SockAddr>() as u32) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

unsafe fn set(fd: c_int, level: c_int, name: c_int, value: c_int) -> io::Result<()> {
    let pointer = (&raw const value).cast::<c_void>();
    // SAFETY: the value lives through the call, and its size is the one that is stated.
    let result = unsafe { setsockopt(fd, level, name, pointer, size_of::<c_int>() as u32) };
    if result < 0 {
        Err(io::Error::last_os_error())
    } else {
        Ok(())
    }
}
