//! Datagrams with a keyed sum: what does not bear the fleet's key is not read any further.

/// Largest datagram (bytes): it fits the smallest path that is common.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The first bytes of each, and the version of what follows.
const MAGIC: [u8; 2] = *b"mj";
const VERSION: u8 = 1;
/// Bytes of the sum, and of all that stands before the content.
const MAC_BYTES: usize = 16;
const HEADER_BYTES: usize = MAGIC.len() + 2 + MAC_BYTES;
/// Largest content (bytes).
pub const MAX_CONTENT_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;

/// What a datagram carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Membership.
    Members,
    /// What routers say to each other of limits.
    Limits,
    /// What they say of engines.
    Verdicts,
    /// What routers and relays say of the list of engines.
    List,
}

/// Why a datagram is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// It is shorter than any, or larger than allowed.
    Size,
    /// It does not begin like one.
    Magic,
    /// It is of another version.
    Version,
    /// Its sum is not by a key that is accepted: damaged, or of another fleet.
    Mac,
    /// It is sealed, but what it holds can't be read.
    Content,
}

/// All of them, for counters.
pub const REJECT_REASONS: [(RejectReason, &str); 5] = [
    (RejectReason::Size, "size"),
    (RejectReason::Magic, "strange"),
    (RejectReason::Version, "version"),
    (RejectReason::Mac, "sum"),
    (RejectReason::Content, "content"),
];

/// The fleet's keys: one to seal with, and one more that is accepted while keys change.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    primary: [u8; 32],
    secondary: Option<[u8; 32]>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keys are for nobody's log.
        write!(f, "Keys({})", if self.secondary.is_some() { 2 } else { 1 })
    }
}

impl Keys {
    /// Reads a key file: one key a line as 64 hex digits, the first of which seals; `#` begins a remark.
    ///
    /// # Errors
    /// Says what is wrong, and never what the file holds.
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
            [] => Err("there is no key in it".into()),
            _ => Err("there are more than two keys in it".into()),
        }
    }

    /// A number that all routers with these keys share and nobody else can guess: hashes of clients' names are drawn by it, so
    /// that a client is the same one to all routers. It follows from the key that seals.
    pub fn shared_seed(&self) -> u64 {
        let hash = blake3::keyed_hash(&self.primary, b"marljunction clients");
        hash.as_bytes().iter().take(8).fold(0, |seed, byte| seed << 8 | u64::from(*byte))
    }

    /// A datagram of this content.
    pub fn sign(&self, kind: Kind, content: &[u8]) -> Vec<u8> {
        let kind = kind as u8;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + content.len());
        datagram.extend_from_slice(&MAGIC);
        datagram.extend_from_slice(&[VERSION, kind]);
        datagram.extend_from_slice(&mac(&self.primary, kind, content));
        datagram.extend_from_slice(content);
        datagram
    }

    /// What a datagram holds, where it bears a key that is accepted.
    ///
    /// # Errors
    /// Says why it is passed over.
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
        // Compared as hashes, which takes as long whatever differs.
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
            2 => Ok((Kind::Verdicts, content)),
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
