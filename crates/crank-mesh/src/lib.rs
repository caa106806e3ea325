//! Other nodes: probes over UDP, control and call connections over WebSocket.
