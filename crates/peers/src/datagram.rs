//! Datagram format. Each datagram carries a message authentication code (MAC) made with the fleet's
//! key, and is rejected before parsing if the code does not match. The content is not encrypted.

/// Largest datagram; fits into the smallest common path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// First bytes of a datagram, followed by the version of the format.
const MAGIC: [u8; 2] = *b"mj";
const VERSION: u8 = 1;
/// Length of the MAC, and of everything before the content.
const MAC_BYTES: usize = 16;
const HEADER_BYTES: usize = MAGIC.len() + 2 + MAC_BYTES;
/// Largest content.
pub const MAX_CONTENT_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;

/// Type of the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Membership.
    Members,
    /// Leases of shared limits.
    Limits,
    /// Engine health.
    Health,
    /// List of engines.
    List,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// Shorter than a header or longer than [`MAX_DATAGRAM_BYTES`].
    Size,
    /// Does not start with the magic bytes.
    Magic,
    /// Another version of the format.
    Version,
    /// No accepted key matches: the datagram is damaged or from another fleet.
    Mac,
    /// Authentic, but the content can't be decoded.
    Content,
}

/// All reasons with their names for counters.
pub const REJECT_REASONS: [(RejectReason, &str); 5] = [
    (RejectReason::Size, "size"),
    (RejectReason::Magic, "strange"),
    (RejectReason::Version, "version"),
    (RejectReason::Mac, "sum"),
    (RejectReason::Content, "content"),
];

/// The fleet's keys: one that signs, and optionally a second one that is accepted while keys are
/// rotated.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    primary: [u8; 32],
    secondary: Option<[u8; 32]>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys must not appear in logs.
        write!(f, "Keys({})", if self.secondary.is_some() { 2 } else { 1 })
    }
}

impl Keys {
    /// Parses a key file with one key per line as 64 hex digits. The first key signs; `#` starts a
    /// comment.
    ///
    /// # Errors
    ///
    /// Describes the fault without quoting the file.
    pub fn read(text: &str) -> Result<Keys, String> {
        let lines = text.lines().map(|line| line.split('#').next().unwrap_or_default().trim());
        let keys: Vec<[u8; 32]> = lines
            .filter(|line| !line.is_empty())
            .enumerate()
            .map(|(at, line)| {
                blake3::Hash::from_hex(line)
                    .map(|key| *key.as_bytes())
                    .map_err(|_| format!("key {} is not 64 hex digits", at + 1))
            })
            .collect::<Result<_, _>>()?;
        match keys[..] {
            [primary] => Ok(Keys { primary, secondary: None }),
            [primary, secondary] => Ok(Keys { primary, secondary: Some(secondary) }),
            [] => Err("the file contains no key".into()),
            _ => Err("the file contains more than two keys".into()),
        }
    }

    /// Secret seed shared by all routers with the same signing key. Hashes of client names are
    /// seeded with it, so that a client has the same hash on all routers.
    pub fn shared_seed(&self) -> u64 {
        let hash = blake3::keyed_hash(&self.primary, b"marljunction clients");
        hash.as_bytes().iter().take(8).fold(0, |seed, byte| seed << 8 | u64::from(*byte))
    }

    /// Builds an authenticated datagram.
    pub fn sign(&self, kind: Kind, content: &[u8]) -> Vec<u8> {
        let kind = kind as u8;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + content.len());
        datagram.extend_from_slice(&MAGIC);
        datagram.extend_from_slice(&[VERSION, kind]);
        datagram.extend_from_slice(&mac(&self.primary, kind, content));
        datagram.extend_from_slice(content);
        datagram
    }

    /// Verifies a datagram and returns its content.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is rejected.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<(Kind, &'a [u8]), RejectReason> {
        if datagram.len() < HEADER_BYTES || datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(RejectReason::Size);
        }
        let (head, content) = datagram.split_at(HEADER_BYTES);
        if head[..2] != MAGIC {
            return Err(RejectReason::Magic);
        }
        if head[2] != VERSION {
            return Err(RejectReason::Version);
        }
        // `blake3::Hash` compares in constant time.
        let seen: [u8; MAC_BYTES] = head[4..].try_into().map_err(|_| RejectReason::Size)?;
        let pad = |mac: [u8; MAC_BYTES]| {
            let mut all = [0; 32];
            all[..MAC_BYTES].copy_from_slice(&mac);
            blake3::Hash::from(all)
        };
        let keys = std::iter::once(&self.primary).chain(&self.secondary);
        if !keys.map(|key| mac(key, head[3], content)).any(|mac| pad(mac) == pad(seen)) {
            return Err(RejectReason::Mac);
        }
        match head[3] {
            0 => Ok((Kind::Members, content)),
            1 => Ok((Kind::Limits, content)),
            2 => Ok((Kind::Health, content)),
            3 => Ok((Kind::List, content)),
            _ => Err(RejectReason::Content),
        }
    }
}

fn mac(key: &[u8; 32], kind: u8, content: &[u8]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&[VERSION, kind]).update(content);
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
    mac
}
