//! Tests that the service stand-in responds and logs its calls.

use lagoonlift_standins::service::{ServiceFault, ServiceStandin};
use tokio::net::TcpSocket;

#[tokio::test]
async fn a_call_with_a_lost_response_is_logged() {
    let listen = "127.0.0.1:0".parse().expect("a valid address");
    let service = ServiceStandin::start(listen).expect("a free port");
    let url = format!("http://{}/alerts", service.addr());
    let client = reqwest::Client::new();
    service.push_fault(ServiceFault::LoseAnswer);
    let lost = client.post(&url).body("a").send().await;
    lost.expect_err("the connection is closed");
    let response = client
        .post(&url)
        .body("b")
        .send()
        .await
        .expect("a response");
    assert_eq!(response.text().await.expect("a body"), "POST /alerts b\n");
    assert_eq!(service.calls().len(), 2);
}

/// Otherwise another server could bind the port and respond in place of the crashed
/// service.
///
/// Fails if a crash releases the port.
#[tokio::test]
async fn a_crashed_service_keeps_its_port() {
    let listen = "127.0.0.1:0".parse().expect("a valid address");
    let mut service = ServiceStandin::start(listen).expect("a free port");
    service.crash();
    let other = TcpSocket::new_v4().expect("a socket");
    other.bind(service.addr()).expect_err("the port is taken");
}
