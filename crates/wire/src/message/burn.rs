//! SLO counts that a leaving instance sends to a peer.

/// SLO counts, by service and team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// One entry for each service and team.
    #[prost(message, repeated, tag = "1")]
    pub series: Vec<Series>,
}

/// SLO counts of one service and team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Series {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// The slots of all windows, newest first within each window, each as the number of all
    /// requests and of those that missed the objective.
    #[prost(uint32, repeated, tag = "3")]
    pub slots: Vec<u32>,
    /// Requests that missed the objective, by cause, in the order of the causes in the core crate.
    #[prost(float, repeated, tag = "4")]
    pub causes: Vec<f32>,
}
