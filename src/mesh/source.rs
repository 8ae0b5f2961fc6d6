//! The routers over which aggregates are summed.

data! {
    /// The set of routers that an aggregate sums up; each scope contains the ones before it.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub enum Scope {
        /// A single router.
        #[default]
        Router,
        /// The routers of one group of a failure domain.
        Group,
        /// All routers of a failure domain.
        Domain,
    }

    /// The router, group or failure domain that an aggregate sums up.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct Source {
        /// The set of routers that is summed up.
        pub scope: Scope,
        /// The identifier of the router or the failure domain, or the number of the group within
        /// its failure domain.
        pub id: u32,
    }
}

impl Source {
    /// Returns the source of a single router's own loads and usage.
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
