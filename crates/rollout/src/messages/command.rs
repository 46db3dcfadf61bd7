//! Operator commands to a node, and the node's replies.

/// A command that an operator's tool sends to a node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OperatorCommand {
    /// Kind of the command, one of [`command_kind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Index of the chunk, for a chunk.
    #[prost(uint32, tag = "2")]
    pub chunk: u32,
    /// Bytes of the chunk, for a chunk.
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
    /// Size of the whole content in bytes.
    #[prost(uint32, tag = "4")]
    pub size: u32,
    /// SHA-256 digest of the whole content.
    #[prost(bytes = "vec", tag = "5")]
    pub digest: Vec<u8>,
    /// Number of the program's version; 0 for settings, whose version number is in their file.
    #[prost(uint64, tag = "6")]
    pub number: u64,
    /// Hash of the program's version; unused for settings.
    #[prost(fixed64, tag = "7")]
    pub hash: u64,
    /// Rollout that is halted or rolled back; 0 for the current one.
    #[prost(fixed64, tag = "8")]
    pub rollout: u64,
    /// Reason given by the operator, for a halt or a rollback.
    #[prost(string, tag = "9")]
    pub why: String,
    /// True if the command is about rollouts of the program, false for the settings.
    #[prost(bool, tag = "10")]
    pub program: bool,
}

/// Kinds of operator commands.
pub mod command_kind {
    /// Transfers a chunk of the content that is offered.
    pub const CHUNK: u32 = 1;
    /// Offers the transferred content to the cluster.
    pub const OFFER: u32 = 2;
    /// Halts a rollout: nodes that run the new version keep running it.
    pub const HALT: u32 = 3;
    /// Rolls a rollout back: all nodes return to the version that they ran before.
    pub const ROLL_BACK: u32 = 4;
}

/// The reply of a node to an operator command.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandReply {
    /// State of the command, one of [`crate::operator_commands::state`].
    #[prost(uint32, tag = "1")]
    pub state: u32,
    /// Reason why the command was rejected or is not done yet.
    #[prost(string, tag = "2")]
    pub why: String,
    /// Rollout that the command is about; 0 if none.
    #[prost(fixed64, tag = "3")]
    pub rollout: u64,
}
