//! The service stand-in answers and logs.

use lagoonlift_standins::service::{ServiceFault, ServiceStandin};

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
