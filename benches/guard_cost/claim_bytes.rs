//! Bytes of a claim on the wire, including HTTP/2 frames.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use cardamomgw::claim::ClaimCall;
use cardamomgw::claim::ClaimOperation;
use cardamomgw::claim::ClaimReply;
use cardamomgw::claim::ClaimTicket;
use cardamomgw::claim::SeatAnswer;
use cardamomgw::ids::HostName;
use cardamomgw::ids::RequestId;
use cardamomgw::peers::CallHandler;
use cardamomgw::peers::HandleFuture;
use cardamomgw::peers::PeerCall;
use cardamomgw::peers::PeerIdentity;
use cardamomgw::peers::PeerListener;
use cardamomgw::peers::PeerMesh;
use cardamomgw::peers::PeerReply;
use cardamomgw::peers::ReplySender;
use cardamomgw::roster::RosterTag;

const CALLS: u64 = 1_000;
const TIMEOUT: Duration = Duration::from_secs(10);
const TAG: RosterTag = RosterTag {
    number: 1,
    digest: 7,
};

/// Grants every claim.
struct GrantingSeat;

impl CallHandler for GrantingSeat {
    fn handle(&self, _: HostName, call: PeerCall, replies: ReplySender) -> HandleFuture<'_> {
        Box::pin(async move {
            if let PeerCall::Claim(call) = call {
                let granted = SeatAnswer::Granted {
                    needs_former: false,
                };
                let reply = ClaimReply {
                    id: call.id,
                    roster: call.roster,
                    operation: call.operation,
                    incarnation: call.ticket.incarnation,
                    round: call.ticket.round,
                    answer: granted,
                };
                replies.finish(PeerReply::Claim(reply)).await.ok();
            }
        })
    }
}

/// Prints the bytes in both directions of a call to one seat, and of a claim by all seats.
pub(crate) async fn print_claim_bytes() {
    let address = ([127, 0, 0, 1], 0).into();
    let listener = PeerListener::bind(address, identity("entry-2"), Arc::new(GrantingSeat))
        .await
        .unwrap();
    let mesh = PeerMesh::spawn(identity("entry-1"), Vec::new());
    mesh.set_peers(&[("entry-2".to_owned(), listener.address())]);
    while mesh.connected_peers().is_empty() {
        task::sleep(Duration::from_millis(5)).await;
    }
    let before = bytes(&mesh);
    for round in 0..CALLS {
        let reply = mesh.call("entry-2", claim_call(round), TIMEOUT).await;
        assert!(matches!(reply, Ok(PeerReply::Claim(_))));
    }
    let seat = (bytes(&mesh) - before) / CALLS;
    println!("| bytes of a call to one seat, both directions | | {seat} | |");
    for hosts in [3, 5, 7, 8] {
        let claim = seat * (hosts - 1);
        println!("| bytes of a claim, both directions | {hosts} | {claim} | |");
    }
}

fn bytes(mesh: &PeerMesh) -> u64 {
    let links = mesh.links();
    links
        .iter()
        .map(|link| link.read_bytes + link.written_bytes)
        .sum()
}

fn claim_call(round: u64) -> PeerCall {
    PeerCall::Claim(ClaimCall {
        id: RequestId::generate(1_700_000_000_000 + round),
        roster: TAG,
        operation: ClaimOperation::Claim,
        ticket: ClaimTicket {
            host: "entry-1".to_owned(),
            incarnation: u64::MAX / 3,
            round,
            attempt: 1,
        },
    })
}

fn identity(host: &str) -> PeerIdentity {
    PeerIdentity {
        host: host.to_owned(),
        key: b"key".to_vec(),
    }
}
