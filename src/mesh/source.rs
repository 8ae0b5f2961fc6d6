//! Where figures come from, and what they are the sum of.

data! {
    /// What figures are the sum of; each one includes those before it.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub enum Scope {
        /// One router.
        #[default]
        Router,
        /// The routers of a group.
        Group,
        /// The routers of a failure domain.
        Domain,
    }

    /// Whose figures they are.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct Source {
        /// What they are the sum of.
        pub scope: Scope,
        /// The router, the group within its failure domain, or the failure domain.
        pub id: u32,
    }
}

impl Source {
    /// Returns the source of what a router has itself.
    ///
    /// ```
    /// use redwingyard::mesh::{Scope, Source};
    /// assert!(Source::router(9).scope < Scope::Group);
    /// ```
    pub fn router(id: u32) -> Self {
        let scope = Scope::Router;
        Self { scope, id }
    }
}
