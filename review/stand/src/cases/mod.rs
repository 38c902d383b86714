//! The cases.

pub mod leave;
pub mod news;
pub mod pause;
pub mod stop;
