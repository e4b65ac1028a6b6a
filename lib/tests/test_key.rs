//! Decisions of an owner about idempotency keys, and that two owners never both run a key.

use std::time;

use bramleyshelf_lib::{clock, id, key, refusal, unit};

const MAX_SKEW_MS: u64 = 500;
const RETENTION_MS: u64 = 60_000;
const POLICY: key::Policy =
    key::Policy { max_skew: unit::Millis(MAX_SKEW_MS), retention: unit::Millis(RETENTION_MS) };
const DIGEST: [u8; 32] = [1; 32];
const OTHER_DIGEST: [u8; 32] = [2; 32];
const ATTEMPT: id::AttemptId = id::AttemptId(7);

fn millis(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

fn at(time: u64) -> clock::Now {
    clock::Now { mono: millis(time), wall: millis(time) }
}

fn minted(time: u64) -> String {
    let seconds = time / 1_000;
    let nanos = (time % 1_000) as u32 * 1_000_000;
    let stamp = uuid::Timestamp::from_unix(uuid::NoContext, seconds, nanos);
    format!("team/{}", uuid::Uuid::new_v7(stamp))
}

#[test]
fn decide_table() {
    use key::Decision::{Refuse, Run};
    use refusal::{Kind, Ran};
    let since = 1_000_000;
    let cases = [
        ("fresh", minted(since + 1_001), since + 2_000, Run),
        ("at the margin", minted(since + 1_000), since + 2_000, before_takeover()),
        ("before the takeover", minted(since - 1), since + 2_000, before_takeover()),
        (
            "in the future",
            minted(since + 5_000),
            since + 4_000,
            Refuse(Kind::KeyFromFuture, Ran::No),
        ),
        ("slightly ahead", minted(since + 4_400), since + 4_000, Run),
        (
            "expired",
            minted(since + 2_000),
            since + 2_001 + RETENTION_MS,
            Refuse(Kind::KeyExpired, Ran::Unknown),
        ),
        ("no time, too early", "team/order".to_owned(), since + RETENTION_MS, before_takeover()),
        ("no time, retention over", "team/order".to_owned(), since + RETENTION_MS + 1_001, Run),
        (
            "version 4 has no time",
            format!("team/{}", uuid::Uuid::new_v4()),
            since + 9,
            before_takeover(),
        ),
    ];
    let ledger = key::Ledger::new(millis(since));
    for (name, key, now, expected) in cases {
        assert_eq!(ledger.decide(at(now), &key, &DIGEST, POLICY), expected, "{name}");
    }
}

fn before_takeover() -> key::Decision {
    key::Decision::Refuse(refusal::Kind::KeyBeforeTakeover, refusal::Ran::Unknown)
}

#[test]
fn first_owner_runs_any_key() {
    // Nothing can have run before the first owner of a range, so no key is too old for it.
    let ledger = key::Ledger::default();
    for key in [minted(999_000), "team/order".to_owned()] {
        assert_eq!(ledger.decide(at(1_000_000), &key, &DIGEST, POLICY), key::Decision::Run);
    }
}

#[test]
fn repeated_key_joins_and_other_body_is_refused() {
    let mut ledger = key::Ledger::default();
    let key = minted(1_000_000);
    ledger.insert(at(1_000_000), &key, DIGEST, ATTEMPT, POLICY);
    let decide = |digest| ledger.decide(at(1_000_100), &key, &digest, POLICY);
    assert_eq!(decide(DIGEST), key::Decision::Join(ATTEMPT));
    let mismatch = key::Decision::Refuse(refusal::Kind::KeyMismatch, refusal::Ran::No);
    assert_eq!(decide(OTHER_DIGEST), mismatch);
}

#[test]
fn removed_key_may_run_again() {
    // A key is removed when its call did not run, so that the caller can send it again.
    let mut ledger = key::Ledger::default();
    let key = minted(1_000_000);
    ledger.insert(at(1_000_000), &key, DIGEST, ATTEMPT, POLICY);
    ledger.remove(&key);
    assert_eq!(ledger.decide(at(1_000_100), &key, &DIGEST, POLICY), key::Decision::Run);
}

quickcheck::quickcheck! {
    /// A key that was removed from the ledger is refused as expired, so that it cannot run again.
    fn expired_key_never_runs_again(mint_offset: u16, run_after: u16, again_after: u32) -> bool {
        let mint = 10_000_000 + u64::from(mint_offset);
        let run = mint + u64::from(run_after);
        let again = run + u64::from(again_after % 300_000);
        let mut ledger = key::Ledger::default();
        let key = minted(mint);
        if ledger.decide(at(run), &key, &DIGEST, POLICY) != key::Decision::Run {
            return true;
        }
        ledger.insert(at(run), &key, DIGEST, ATTEMPT, POLICY);
        ledger.expire(at(again));
        ledger.decide(at(again), &key, &DIGEST, POLICY) != key::Decision::Run
    }

    /// A key that the former owner ran while its lease was valid is not run by the next owner, for
    /// any clocks within the skew. With a margin of one skew in place of two this fails.
    fn takeover_never_runs_key_twice(
        offsets: (u16, u16, u16),
        mint: u16,
        first_try: u16,
        takeover: u16,
        second_try: u16
    ) -> bool {
        let skew = |offset: u16| u64::from(offset) % (MAX_SKEW_MS + 1);
        let (old, new, caller) = (skew(offsets.0), skew(offsets.1), skew(offsets.2));
        // Order of events: the key is minted, then sent to the former owner, whose lease ends
        // before the takeover, then sent to the next owner.
        let mint = 50_000_000 + u64::from(mint) % 3_000;
        let first_try = mint + u64::from(first_try) % 3_000;
        let takeover = first_try + u64::from(takeover) % 3_000;
        let second_try = takeover + u64::from(second_try) % 5_000;
        let key = minted(mint + caller);
        let former = key::Ledger::default();
        let ran = former.decide(at(first_try + old), &key, &DIGEST, POLICY) == key::Decision::Run;
        let next = key::Ledger::new(millis(takeover + new));
        let runs = next.decide(at(second_try + new), &key, &DIGEST, POLICY) == key::Decision::Run;
        !(ran && runs)
    }

    /// The same for a key whose mint time is up to one skew ahead of the former owner's clock.
    fn takeover_never_runs_future_key_twice(old: u16, new: u16, ahead: u16, later: u16) -> bool {
        let skew = |offset: u16| u64::from(offset) % (MAX_SKEW_MS + 1);
        let (old, new) = (skew(old), skew(new));
        let takeover = 50_000_000;
        let key = minted(takeover + old + skew(ahead));
        let former = key::Ledger::default();
        let ran = former.decide(at(takeover + old), &key, &DIGEST, POLICY) == key::Decision::Run;
        let next = key::Ledger::new(millis(takeover + new));
        let again = takeover + new + u64::from(later);
        let runs = next.decide(at(again), &key, &DIGEST, POLICY) == key::Decision::Run;
        !(ran && runs)
    }
}
