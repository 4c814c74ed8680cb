//! Stand-ins for clients, engines, the list service and the platform, for the cases 6 to 10. Each case includes
//! this module by its path.

pub mod client;
pub mod coordinator;
pub mod engine;
pub mod http;
pub mod postgres;
pub mod record;
pub mod router;
