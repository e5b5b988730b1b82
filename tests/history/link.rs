//! Messages between the instances of the fleet.

use godwitreel::id;
use godwitreel::peer;
use rand::RngExt;

use crate::fleet::Fleet;
use crate::fleet::Input;
use crate::fleet::Item;
use crate::lab;

impl Fleet {
    pub(crate) fn beat(&mut self, place: usize) {
        let node = &self.nodes[place];
        let body = peer::PeerMessage::Heartbeat(peer::Heartbeat {
            zone: node.zone.to_string(),
            address: lab::endpoint(4, place as u16).to_string(),
            leaving: node.leaving_since.is_some(),
            digest: 0,
            loads: None,
            loads_omitted: false,
        });
        let peers = node.control.peers();
        for (member, _) in peers {
            self.send_to(place, &member.holder.instance, body.clone());
        }
    }

    pub(crate) fn send(&mut self, place: usize, to: &id::Holder, body: peer::PeerMessage) {
        self.send_to(place, &to.instance, body);
    }

    pub(crate) fn send_to(&mut self, place: usize, to: &id::Instance, body: peer::PeerMessage) {
        let target = self
            .nodes
            .iter()
            .position(|node| node.holder.instance == *to);
        let target = target.expect("all names are known");
        let input = Input::Peer(self.nodes[place].holder.clone(), body);
        if self.cuts.contains(&(place, target)) || self.is_lost() {
            self.drop_input(&input);
            return;
        }
        if self.rng.random_bool(0.01) {
            let at = self.now + self.delay();
            self.push(at, Item::Node(target, 0, input.clone()));
        }
        let at = self.now + self.delay();
        self.push(at, Item::Node(target, 0, input));
    }
}
