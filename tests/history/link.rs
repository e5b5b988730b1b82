//! Messages between the instances of the simulated fleet.

use godwitreel::id;
use godwitreel::peer;
use rand::RngExt;

use crate::fleet::Fleet;
use crate::fleet::Input;
use crate::fleet::Scheduled;
use crate::lab;

impl Fleet {
    pub(crate) fn send_heartbeats(&mut self, index: usize) {
        let node = &self.nodes[index];
        let body = peer::PeerMessage::Heartbeat(peer::Heartbeat {
            zone: node.zone.to_string(),
            address: lab::endpoint(4, index as u16).to_string(),
            leaving: node.leaving_since.is_some(),
            digest: 0,
            loads: None,
            loads_omitted: false,
        });
        let peers = node.control.peers();
        for (member, _) in peers {
            self.send_to(index, &member.holder.instance, body.clone());
        }
    }

    pub(crate) fn send(&mut self, index: usize, to: &id::Holder, body: peer::PeerMessage) {
        self.send_to(index, &to.instance, body);
    }

    pub(crate) fn send_to(&mut self, index: usize, to: &id::Instance, body: peer::PeerMessage) {
        let target = self
            .nodes
            .iter()
            .position(|node| node.holder.instance == *to);
        let target = target.expect("known instance");
        let input = Input::Peer(self.nodes[index].holder.clone(), body);
        if self.blocked_links.contains(&(index, target)) || self.is_lost() {
            self.record_dropped_input(&input);
            return;
        }
        if self.rng.random_bool(0.01) {
            let at = self.now + self.delay();
            self.schedule(at, Scheduled::Node(target, 0, input.clone()));
        }
        let at = self.now + self.delay();
        self.schedule(at, Scheduled::Node(target, 0, input));
    }
}
