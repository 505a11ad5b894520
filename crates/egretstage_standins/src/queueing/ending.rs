//! The end of a request, as its caller sees it.

use super::agenda::Event;
use super::call::CallId;
use super::figures::Second;
use super::options::CallerHabit;
use super::world::World;
use rand::Rng;
use std::time::{Duration, Instant};

/// Wait of a caller that isn't told, or doesn't heed, when to come back.
pub(super) const IMPATIENT_WAIT: Duration = Duration::from_secs(1);

/// Largest random part of a caller's wait.
const WAIT_JITTER: f64 = 0.2;

/// What became of a request when its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    Answered,
    Refused(Duration),
    Late,
    Lost,
}

impl World {
    /// Tells the caller what became of its request and counts it.
    pub(super) fn close(&mut self, now: Instant, id: CallId, ending: Ending) {
        let call = &mut self.calls[id];
        call.closed = true;
        call.sent = None;
        self.count(id, ending);
        let CallerHabit::AskAgain(times) = self.scenario.habit else {
            return;
        };
        if ending == Ending::Answered || self.calls[id].asks > times {
            return;
        }
        let wait = match ending {
            Ending::Refused(after) if id.is_multiple_of(2) => after,
            _ => IMPATIENT_WAIT,
        };
        let jitter = 1.0 + self.rng.random_range(0.0..WAIT_JITTER);
        self.agenda
            .add(now + wait.mul_f64(jitter), Event::AskAgain(id));
    }

    fn count(&mut self, id: CallId, ending: Ending) {
        let call = &self.calls[id];
        let since = call.arrived - self.start;
        let on_time = ending == Ending::Answered;
        let tokens = u64::from(call.req.tokens);
        let second = usize::try_from(since.as_secs()).unwrap_or(usize::MAX);
        let figures = &mut self.figures;
        if figures.seconds.len() <= second {
            figures.seconds.resize(second + 1, Second::default());
        }
        figures.seconds[second].offered += 1;
        figures.seconds[second].on_time += u32::from(on_time);
        if since < self.scenario.warm_up {
            return;
        }
        let small = self.scenario.site.organisations[call.req.organisation].small;
        figures.offered += 1;
        figures.on_time += u32::from(on_time);
        figures.small_offered += u32::from(small);
        figures.small_on_time += u32::from(small && on_time);
        figures.admitted += u32::from(call.ran);
        match ending {
            Ending::Answered => figures.good_tokens += tokens,
            Ending::Refused(_) => figures.refused += 1,
            Ending::Late => figures.late += 1,
            Ending::Lost => figures.lost += 1,
        }
        if let Some(first) = call.first_token {
            figures.first_tokens.push(first - call.arrived);
        }
    }
}
