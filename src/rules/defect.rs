//! Defects of single entries of a configuration, whose other entries are in force.

use derive_more::Display;

/// The number of defects that are listed; more are only counted.
const MAX_LISTED: usize = 20;

data! {
    /// What is wrong with an entry, or which figure of it is not used as written.
    #[derive(Display)]
    #[display("entry={entry:?} detail={detail:?}")]
    pub struct Defect {
        /// The entry, such as `route chart`.
        pub entry: String,
        /// The description of the defect.
        pub detail: String,
    }

    /// The defects of a configuration.
    #[derive(Default)]
    pub struct Defects {
        /// The number of defects.
        pub count: usize,
        /// The first ones.
        pub listed: Vec<Defect>,
    }
}

impl Defects {
    /// Adds a defect.
    ///
    /// ```
    /// use redwingyard::rules::Defects;
    /// let mut defects = Defects::default();
    /// defects.push("route chart", "no service has a weight above zero");
    /// assert_eq!(defects.count, 1);
    /// assert!(defects.listed[0].to_string().starts_with("entry=\"route chart\" detail=\"no "));
    /// ```
    pub fn push(&mut self, entry: impl Into<String>, detail: impl Into<String>) {
        self.count += 1;
        if self.listed.len() < MAX_LISTED {
            self.listed.push(Defect {
                entry: entry.into(),
                detail: detail.into(),
            });
        }
    }
}
