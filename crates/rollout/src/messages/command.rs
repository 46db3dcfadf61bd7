//! What operators ask of a node, and what it replies.

/// What an operator asks of a node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OperatorCommand {
    /// One of [`command_kind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Of content: the index of the chunk.
    #[prost(uint32, tag = "2")]
    pub chunk: u32,
    /// The bytes of the chunk.
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
    /// Bytes of the whole content.
    #[prost(uint32, tag = "4")]
    pub size: u32,
    /// SHA-256 of the whole content.
    #[prost(bytes = "vec", tag = "5")]
    pub digest: Vec<u8>,
    /// Of a program: the number of its version; 0 for settings, whose file has it.
    #[prost(uint64, tag = "6")]
    pub number: u64,
    /// Of a program: the hash of its version.
    #[prost(fixed64, tag = "7")]
    pub hash: u64,
    /// The rollout that is halted or rolled back; 0 for the current one.
    #[prost(fixed64, tag = "8")]
    pub rollout: u64,
    /// The operator's reason.
    #[prost(string, tag = "9")]
    pub why: String,
    /// Whether it is about the program.
    #[prost(bool, tag = "10")]
    pub program: bool,
}

/// The kinds of operator commands.
pub mod command_kind {
    /// A chunk of content that is offered.
    pub const CHUNK: u32 = 1;
    /// Offer it to the cluster.
    pub const OFFER: u32 = 2;
    /// Halt a rollout.
    pub const HALT: u32 = 3;
    /// Roll a rollout back.
    pub const ROLL_BACK: u32 = 4;
}

/// What became of an operator command.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandReply {
    /// One of [`crate::operator_commands::state`].
    #[prost(uint32, tag = "1")]
    pub state: u32,
    /// Why it was rejected or is not done yet.
    #[prost(string, tag = "2")]
    pub why: String,
    /// The rollout that it is about; 0 if none.
    #[prost(fixed64, tag = "3")]
    pub rollout: u64,
}
