//! Partitions between hosts and targets, by socket filters.

use std::net::Ipv4Addr;

use socket2::{SockFilter, SockRef};
use tokio::net::TcpListener;

use super::ip;

/// Returns a filter that drops packets from these hosts. Its first load is the IPv4 source address,
/// at an offset from the network header.
fn drop_from(net: u8, hosts: &[u8]) -> Vec<SockFilter> {
    const SOURCE: u32 = 0xfff0_0000 + 12;
    const LOAD: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    let mut program = vec![SockFilter::new(LOAD, 0, 0, SOURCE)];
    for (at, host) in hosts.iter().enumerate() {
        let addr: Ipv4Addr = ip(net, *host).parse().expect("an address");
        let to_drop = (hosts.len() - at) as u8;
        program.push(SockFilter::new(JUMP_IF_EQUAL, to_drop, 0, addr.into()));
    }
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program.push(SockFilter::new(RETURN, 0, 0, 0));
    program
}

/// Drops from now on new connections to a target that come from these hosts.
pub fn cut(listener: &TcpListener, net: u8, hosts: &[u8]) {
    SockRef::from(listener).attach_filter(&drop_from(net, hosts)).expect("a filter");
}

/// Accepts again what [`cut`] drops.
pub fn reconnect(listener: &TcpListener) {
    SockRef::from(listener).detach_filter().expect("it has one");
}
