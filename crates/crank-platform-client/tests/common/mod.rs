//! The stand-in as a server of this process, and a client of it.

use std::net::SocketAddr;

use crank_platform_client::{Access, Remote};
use crank_protocol::{Millis, Name};

pub(crate) struct Standin {
    pub(crate) address: SocketAddr,
}

impl Standin {
    pub(crate) async fn start() -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let server = crank_platform::Server::new(listen, crank_platform::Switches::default())
            .await
            .unwrap();
        let address = server.address();
        tokio::spawn(server.run());
        Self { address }
    }

    pub(crate) fn client(&self, timeout: Millis) -> Remote {
        let url: std::sync::Arc<str> = format!("http://{}", self.address).into();
        Remote::new(&Access {
            objects: url.clone(),
            rows: url,
            region: "almaty".into(),
            bucket: "crank".into(),
            table: "crank".into(),
            access_key: "n1".into(),
            secret_key: "none".into(),
            timeout,
        })
        .unwrap()
    }

    pub(crate) async fn switch(&self, switches: &str) {
        let url = format!("http://{}/control", self.address);
        let request = reqwest::Client::new().put(url).body(switches.to_owned());
        let answer = request.send().await.unwrap();
        assert!(answer.status().is_success(), "{switches}");
    }

    pub(crate) async fn counts(&self) -> crank_platform::Counts {
        let url = format!("http://{}/control/counts", self.address);
        reqwest::get(url).await.unwrap().json().await.unwrap()
    }
}

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}
