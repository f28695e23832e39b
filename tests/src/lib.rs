//! Stand-in model engines and plain services, and the harness for end-to-end tests that run them
//! with real host processes.

pub mod announce;
pub mod answer;
pub mod checkout;
pub mod client;
pub mod cluster;
pub mod counts;
pub mod engine;
pub mod fence;
pub mod options;
pub mod process;
pub mod server;
pub mod service;
pub mod text;
