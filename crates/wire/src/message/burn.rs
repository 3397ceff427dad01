//! Service-level counts that a leaving instance hands over.

/// Counts of some services and teams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// The counts.
    #[prost(message, repeated, tag = "1")]
    pub series: Vec<Series>,
}

/// Counts of one service and team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Series {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub team: String,
    /// The slots of all windows, those of one window newest first, each as all requests and those
    /// that missed the objective.
    #[prost(uint32, repeated, tag = "3")]
    pub slots: Vec<u32>,
    /// Requests that missed the objective, by cause.
    #[prost(float, repeated, tag = "4")]
    pub causes: Vec<f32>,
}
