//! What gateways tell each other about crashes of engines, and about the parts of prompts and the
//! requests that may have caused them.

use crate::id;

/// One process of an engine.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
pub struct EngineProcess {
    /// Instance id of the engine.
    pub instance: id::InstanceId,
    /// Start time in milliseconds since the Unix epoch; `None` if it is not known.
    pub started_ms: Option<u64>,
}

/// A crash as one gateway saw it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Crash {
    /// Process that crashed.
    pub engine: EngineProcess,
    /// Parts and requests that may have caused it.
    #[serde(rename = "parts")]
    pub suspects: Vec<u64>,
    /// Whether the gateway had just started.
    pub is_early: bool,
}

/// A part or request that was suspected and then shown to be sound.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SoundPart {
    /// Id of the part or request.
    pub part: u64,
    /// Number that differs each time that the part is shown to be sound.
    pub serial: u64,
}

/// A part or request that is held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct HeldPart {
    /// Id of the part or request.
    pub part: u64,
    /// Whether a prompt with it was let through since.
    pub is_probed: bool,
}

/// What one gateway tells the others about crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Crashes of calls of this gateway.
    pub crashes: Vec<Crash>,
    /// Parts and requests that it has shown to be sound.
    pub sound: Vec<SoundPart>,
    /// Parts and requests that it holds back and that no other gateway reported first.
    pub held: Vec<HeldPart>,
}

impl Report {
    /// Returns whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A report with the gateway that wrote it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct GatewayReport {
    /// Instance id of the gateway.
    pub instance: id::InstanceId,
    /// Its report.
    pub report: Report,
}
