//! Idempotency keys: what an owner decides, and that two owners never both run a key.

use std::time;

use bramleyshelf_lib::{clock, id, key, refusal, unit};

const SKEW_MS: u64 = 500;
const WINDOW_MS: u64 = 60_000;
const RULE: key::Rule = key::Rule { skew: unit::Millis(SKEW_MS), window: unit::Millis(WINDOW_MS) };
const DIGEST: [u8; 32] = [1; 32];
const OTHER_DIGEST: [u8; 32] = [2; 32];
const ATTEMPT: id::AttemptId = id::AttemptId(7);

fn millis(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

fn wall(at: u64) -> clock::Now {
    clock::Now { mono: millis(at), wall: millis(at) }
}

fn minted(at: u64) -> String {
    let seconds = at / 1_000;
    let nanos = (at % 1_000) as u32 * 1_000_000;
    let stamp = uuid::Timestamp::from_unix(uuid::NoContext, seconds, nanos);
    format!("team/{}", uuid::Uuid::new_v7(stamp))
}

#[test]
fn judge_table() {
    use key::Verdict::{Refuse, Run};
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
            since + 2_001 + WINDOW_MS,
            Refuse(Kind::KeyExpired, Ran::Unknown),
        ),
        ("no time, too early", "team/order".to_owned(), since + WINDOW_MS, before_takeover()),
        ("no time, window over", "team/order".to_owned(), since + WINDOW_MS + 1_001, Run),
        (
            "version 4 has no time",
            format!("team/{}", uuid::Uuid::new_v4()),
            since + 9,
            before_takeover(),
        ),
    ];
    let book = key::Book::new(millis(since));
    for (name, key, now, expected) in cases {
        assert_eq!(book.judge(wall(now), &key, &DIGEST, RULE), expected, "{name}");
    }
}

fn before_takeover() -> key::Verdict {
    key::Verdict::Refuse(refusal::Kind::KeyBeforeTakeover, refusal::Ran::Unknown)
}

#[test]
fn judge_first_owner_runs_any_key() {
    let book = key::Book::default();
    for key in [minted(999_000), "team/order".to_owned()] {
        assert_eq!(book.judge(wall(1_000_000), &key, &DIGEST, RULE), key::Verdict::Run);
    }
}

#[test]
fn remember_joins_and_refuses_other_body() {
    let mut book = key::Book::default();
    let key = minted(1_000_000);
    book.remember(wall(1_000_000), &key, DIGEST, ATTEMPT, RULE);
    let judge = |digest| book.judge(wall(1_000_100), &key, &digest, RULE);
    assert_eq!(judge(DIGEST), key::Verdict::Join(ATTEMPT));
    let mismatch = key::Verdict::Refuse(refusal::Kind::KeyMismatch, refusal::Ran::No);
    assert_eq!(judge(OTHER_DIGEST), mismatch);
}

#[test]
fn release_lets_key_run_again() {
    let mut book = key::Book::default();
    let key = minted(1_000_000);
    book.remember(wall(1_000_000), &key, DIGEST, ATTEMPT, RULE);
    book.release(&key);
    assert_eq!(book.judge(wall(1_000_100), &key, &DIGEST, RULE), key::Verdict::Run);
}

quickcheck::quickcheck! {
    /// A key that is forgotten is refused as expired: it can never run a second time.
    fn expire_never_allows_second_run(mint_offset: u16, run_after: u16, again_after: u32) -> bool {
        let mint = 10_000_000 + u64::from(mint_offset);
        let run = mint + u64::from(run_after);
        let again = run + u64::from(again_after % 300_000);
        let mut book = key::Book::default();
        let key = minted(mint);
        if book.judge(wall(run), &key, &DIGEST, RULE) != key::Verdict::Run {
            return true;
        }
        book.remember(wall(run), &key, DIGEST, ATTEMPT, RULE);
        book.expire(wall(again));
        book.judge(wall(again), &key, &DIGEST, RULE) != key::Verdict::Run
    }

    /// Whatever the clocks show within the bound, a key that the former owner ran while its lease
    /// was valid is not run by the next one. With a margin of one bound in place of two this fails.
    fn takeover_never_runs_key_twice(
        offsets: (u16, u16, u16),
        mint: u16,
        first_try: u16,
        takeover: u16,
        second_try: u16
    ) -> bool {
        let bound = |offset: u16| u64::from(offset) % (SKEW_MS + 1);
        let (old, new, caller) = (bound(offsets.0), bound(offsets.1), bound(offsets.2));
        // True times, in order: the key is minted, tried at the former owner, whose lease ends
        // before the takeover, and tried at the next owner.
        let mint = 50_000_000 + u64::from(mint) % 3_000;
        let first_try = mint + u64::from(first_try) % 3_000;
        let takeover = first_try + u64::from(takeover) % 3_000;
        let second_try = takeover + u64::from(second_try) % 5_000;
        let key = minted(mint + caller);
        let former = key::Book::default();
        let ran = former.judge(wall(first_try + old), &key, &DIGEST, RULE) == key::Verdict::Run;
        let next = key::Book::new(millis(takeover + new));
        let runs = next.judge(wall(second_try + new), &key, &DIGEST, RULE) == key::Verdict::Run;
        !(ran && runs)
    }

    /// The same with a caller whose key is as far in the future as is accepted.
    fn takeover_never_runs_future_key_twice(old: u16, new: u16, ahead: u16, later: u16) -> bool {
        let bound = |offset: u16| u64::from(offset) % (SKEW_MS + 1);
        let (old, new) = (bound(old), bound(new));
        let takeover = 50_000_000;
        let key = minted(takeover + old + bound(ahead));
        let former = key::Book::default();
        let ran = former.judge(wall(takeover + old), &key, &DIGEST, RULE) == key::Verdict::Run;
        let next = key::Book::new(millis(takeover + new));
        let at = takeover + new + u64::from(later);
        let runs = next.judge(wall(at), &key, &DIGEST, RULE) == key::Verdict::Run;
        !(ran && runs)
    }
}
