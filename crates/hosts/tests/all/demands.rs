//! Every process learns what is asked of a workspace's limit elsewhere.

use crate::support::{config, data_centre, start, wait_for};
use lagoonlift_hosts::{Demand, DemandMap, PeerNode};
use lagoonlift_types::WorkspaceName;

fn workspace() -> WorkspaceName {
    WorkspaceName::new("plumbers").expect("a valid name")
}

fn demand(requests_per_second: f64) -> Demand {
    Demand {
        requests_per_second,
        tokens_per_second: 10.0 * requests_per_second,
    }
}

/// Starts two nodes in each of two data centres; node `i` is asked for `2^i`
/// requests a second.
async fn start_nodes() -> Vec<PeerNode> {
    let mut nodes: Vec<PeerNode> = Vec::new();
    for index in 0..4 {
        let seeds: Vec<_> = nodes
            .first()
            .map(PeerNode::local_addr)
            .into_iter()
            .collect();
        let mut config = config(&format!("h{index}"), &seeds);
        config.data_centre = data_centre(["dc1", "dc2"][index / 2]);
        let node = start(config).await;
        let own = demand(f64::from(1 << index));
        node.set_demand(DemandMap::from([(workspace(), own)]));
        nodes.push(node);
    }
    nodes
}

async fn wait_elsewhere(node: &PeerNode, expected: Demand) {
    let mut elsewhere = node.peer_demand();
    let is_expected =
        |elsewhere: &std::sync::Arc<DemandMap>| elsewhere.get(&workspace()) == Some(&expected);
    wait_for(&mut elsewhere, is_expected).await;
}

#[tokio::test]
async fn demand_is_added_up_over_data_centres() {
    let nodes = start_nodes().await;
    for (index, node) in nodes.iter().enumerate() {
        wait_elsewhere(node, demand(15.0 - f64::from(1 << index))).await;
    }
}

/// Seen failing without forgetting: the dead node's demand counted for ever.
#[tokio::test]
async fn the_demand_of_a_dead_process_is_forgotten() {
    let mut nodes = start_nodes().await;
    wait_elsewhere(&nodes[0], demand(14.0)).await;
    drop(nodes.remove(1));
    wait_elsewhere(&nodes[0], demand(12.0)).await;
    wait_elsewhere(&nodes[1], demand(9.0)).await;
}
