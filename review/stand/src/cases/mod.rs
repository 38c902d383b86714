//! The cases.

pub mod apart;
pub mod cold;
pub mod entry;
pub mod heads;
pub mod leave;
pub mod news;
pub mod pause;
pub mod stop;
pub mod versions;
