//! Thresholds of placement.

use galenapath_protocol::Micros;

/// Thresholds of placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceConfig {
    /// Age at which a sighting of the pace has lost about two thirds of its weight: a spell seen
    /// that long ago is over as often as not.
    pub pace_fades: Micros,
    /// Time that a request is taken to run before any has been measured.
    pub assumed_work: Micros,
    /// Part of the work time that a server of another failure domain costs for an ordinary answer: the
    /// bytes are billed, and targets leave room for a wait and a fuller server at home. More than a full
    /// server costs and less than a crowded or slow one.
    pub crossing: f32,
    /// The same for a large answer, whose bytes cost about as much as the answer is worth; less than a slow
    /// spell.
    pub crossing_large: f32,
    /// Part of the work time that a full server costs beside an empty one, by the square of its
    /// fill: some servers slow down when nearly full.
    pub fill_cost: f32,
    /// Part of the work time that a new connection costs: a handshake, which may wait for a slot, and which
    /// takes a server's time. Less than one more request at the server does.
    pub connect: f32,
    /// Part of the work time within which chance decides, so that instances with the same knowledge
    /// do not all choose the same server.
    pub jitter: f32,
    /// Servers of the own failure domain, and as many of others, among which a request chooses: so
    /// many that hardly ever all of them are slow, few enough that instances with the same knowledge differ.
    pub sample: usize,
    /// Servers of the own failure domain that a connection is kept to, which it looks at as well.
    pub sample_connected: usize,
    /// Part of the work time by which a server that has just been asked may be slower than it was
    /// expected to be before the request looks for another.
    pub slower: f32,
    /// Part of the work time that one recent failure costs: more than a crossing, so that a failing server
    /// is the last choice at home and goes before a slow one.
    pub failure: f32,
    /// Time in which a failure loses half its weight; then the server gets a trial by itself.
    pub failure_fades: Micros,
    /// Time for which a server that could not be reached gets nothing, unless a probe reaches it.
    pub unreachable_for: Micros,
    /// Cost as a part of the work time above which a server is no good choice for a second copy. A fixed time
    /// would rule out every server in use where work is long.
    pub good: f32,
    /// Time after the last sighting of a server at its usual pace at which it is probed: requests ask it
    /// before they go there and tell what they see.
    pub look_at_usual: Micros,
    /// Time after the last sighting of a slow server at which it is probed where slots are scarce: nobody
    /// asks it, and until its spell is known to be over its slots are lost.
    pub look_at_slow: Micros,
    /// The same while there are slots in plenty.
    pub look_at_slow_calm: Micros,
    /// Time after the last sighting of a server that names a rate limit at which it is probed: a probe takes
    /// from what it bears, and requests bring sightings.
    pub look_at_limited: Micros,
    /// Part of the good slots in use from which slots are scarce.
    pub scarce_from: f32,
    /// Part of the slots up to which a server counts as uncrowded.
    pub crowded_from: f32,
    /// Work time on a crowded server over that on others from which its last slots are left free:
    /// what starts in them takes longer and keeps the server crowded. Low, so that it is known after few
    /// answers.
    pub crowding_limit: f32,
}

impl Default for PlaceConfig {
    fn default() -> Self {
        Self {
            pace_fades: Micros::from_millis(300),
            assumed_work: Micros::from_millis(100),
            crossing: 0.75,
            crossing_large: 2.5,
            fill_cost: 0.5,
            connect: 0.1,
            jitter: 0.15,
            sample: 12,
            sample_connected: 4,
            slower: 0.5,
            failure: 2.5,
            failure_fades: Micros::from_secs(3),
            unreachable_for: Micros::from_secs(1),
            good: 0.75,
            look_at_usual: Micros::from_millis(400),
            look_at_slow: Micros::from_millis(30),
            look_at_slow_calm: Micros::from_millis(200),
            look_at_limited: Micros::from_secs(1),
            scarce_from: 0.4,
            crowded_from: 0.8,
            crowding_limit: 1.2,
        }
    }
}
