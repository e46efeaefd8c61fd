//! The service stand-in answers and logs.

use lagoonlift_standins::service::{ServiceFault, ServiceStandin};
use tokio::net::TcpSocket;

#[tokio::test]
async fn a_lost_answer_still_counts_as_run() {
    let listen = "127.0.0.1:0".parse().expect("a valid address");
    let service = ServiceStandin::start(listen).expect("a free port");
    let url = format!("http://{}/alerts", service.addr());
    let client = reqwest::Client::new();
    service.push_fault(ServiceFault::LoseAnswer);
    let lost = client.post(&url).body("a").send().await;
    lost.expect_err("the connection is closed");
    let answer = client.post(&url).body("b").send().await.expect("an answer");
    assert_eq!(answer.text().await.expect("a text"), "POST /alerts b\n");
    assert_eq!(service.calls().len(), 2);
}

/// No other server gets the port of a crashed service and answers in its place.
///
/// Seen failing with the port given up.
#[tokio::test]
async fn a_crashed_service_keeps_its_port() {
    let listen = "127.0.0.1:0".parse().expect("a valid address");
    let mut service = ServiceStandin::start(listen).expect("a free port");
    service.crash();
    let other = TcpSocket::new_v4().expect("a socket");
    other.bind(service.addr()).expect_err("the port is taken");
}
