//! The meanings of events and outcomes, for readers who don't know the code.

/// Returns whether an event changes the state of a process, or its view of the store, the other
/// gateways or the targets.
pub(super) fn is_state_change(event: &str) -> bool {
    let events = [
        "start",
        "stopping",
        "stop",
        "rules",
        "strained",
        "unstrained",
        "memory-short",
        "memory-eased",
        "slow-start",
        "slow-start-ended",
    ];
    let prefixes = ["store-", "peer-", "target-", "watch-", "part-"];
    events.contains(&event) || prefixes.iter().any(|prefix| event.starts_with(prefix))
}

/// Returns whether an event ends a request.
pub(super) fn is_end(event: &str) -> bool {
    matches!(event, "end" | "reject")
}

/// Returns an event in words; the name of an unknown event is returned as it is.
pub(super) fn phrase(event: &str) -> &str {
    match event {
        "place" => "chose a target:",
        "send" => "sent it:",
        "caller-gone" => "noticed that its caller had left:",
        "first" => "the target's answer began:",
        "refuse" => "refused it:",
        "unanswered" => "its connection broke before its answer had begun; its prompt's parts:",
        "abandon" => "gave up an attempt that got no answer",
        "keep" => "went on with an attempt that got no answer, as the retry budget was spent:",
        "expire" => "its time was over",
        "attempt-error" => "the attempt broke:",
        "answer-discarded" => "discarded an answer that may belong to another request:",
        "attempt-failed" => "the attempt failed:",
        "stream-broken" => "the answer broke off:",
        "cut" => "its connection ended before the answer was complete:",
        "unframed-end" => {
            "the answer, with neither a length nor chunks, ended with its connection:"
        }
        "continued" => "another target continued the stream:",
        "reject" => "rejected it before it was queued:",
        "end" => "ended it:",
        "start" => "(the process started)",
        "stopping" => "(the process began to stop)",
        "stop" => "(the process stopped)",
        "rules" => "(rules came into force)",
        "store-lost" => "(the state of the store could not be read)",
        "store-regained" => "(the state of the store could be read again)",
        "watch-doubted" => "(the watch of the store was cancelled)",
        "strained" => "(the process was overloaded and reported itself as not ready)",
        "unstrained" => "(the process was no longer overloaded)",
        "memory-short" => "(the process used nearly all of its memory)",
        "memory-eased" => "(the process had free memory again)",
        "slow-start" => "(a target that had started or recovered got few requests at first)",
        "slow-start-ended" => "(the target got as many requests as others again)",
        "peer-joined" => "(a gateway joined)",
        "peer-left" => "(a gateway left)",
        "peer-lost" => "(no news of a gateway within its timeout)",
        "target-joined" => "(the target joined)",
        "target-draining" => "(the target drains)",
        "target-restarted" => "(the target started again)",
        "target-cold" => "(the target was cold: only its owner among the gateways sent to it)",
        "target-warm" => "(the target was no longer cold)",
        "target-rests" => "(the target asked for a pause without requests)",
        "target-crashed" => "(the target crashed: nothing listens at its address)",
        "part-quarantined" => "(a prompt part was quarantined: it crashes targets)",
        "part-rule" => "(operators have decided about a prompt part)",
        "part-released" => "(a quarantined prompt part was released)",
        "target-left" => "(the target left)",
        "target-lapsed" => {
            "(the target was missing after an outage of the store and is kept for now)"
        }
        "target-moved" => "(another target has the address)",
        other => other,
    }
}

/// Returns what an outcome means for the caller, and where to look next.
pub(super) fn meaning(outcome: &str) -> &'static str {
    match outcome {
        "answered" => {
            "It was answered with success; for anything wrong with it, look at the answer itself."
        }
        "failure" => "The target answered with a failure; its own log says why.",
        "false-promise" => {
            "The target refused it without the field `not-executed`, so the caller was told that it \
             may have run; look at the target."
        }
        "refused-overload" => {
            "It has not run: requests of accounts that had less service would have kept it \
             waiting too long; compare the service that its account received and requested."
        }
        "refused-waited" => {
            "It has not run: no target had capacity within a part of its latency objective; look at \
             the queue and the targets that were lost at the time."
        }
        "refused-no-target" => {
            "It has not run: no target of its service was registered; look at the store and the \
             service."
        }
        "refused-resting" => {
            "It has not run: every target of its service had refused requests of this process \
             and asked for a pause that was not over; look at the targets."
        }
        "no-rules" | "unconfirmed-rules" => {
            "It has not run: the process did not know, or could not confirm, the rules; look at \
             the store."
        }
        "no-route" | "unknown-key" | "two-hosts" => {
            "It has not run: the rules do not allow it; try `redwingyard explain`."
        }
        "refused-quarantined" => {
            "It has not run: a part of its prompt crashed the targets that answered it, and is \
             refused; see `part-quarantined` and the parts in `/status`."
        }
        "quarantined" => {
            "A part of its prompt crashes the targets that answer it, which became known after it \
             was sent; it may have run and is not sent again."
        }
        "expired" => "No answer came in time; it may have run. Look at the target it was sent to.",
        "broken" => {
            "Its stream broke and was not continued; the attempts below show where and why."
        }
        "cut-deadline" => {
            "Its time was over before its answer was complete. If `unread_ms` is large, the process \
             lacked processor time when it read the request."
        }
        "cut-stop" => {
            "The process ended before its answer was complete; `stopping` says when the stop began."
        }
        "caller-gone" => "The caller left before the end; the work was stopped.",
        lost if lost.starts_with("lost-") => {
            "The target was lost after the request was sent; it may have run, and its route does \
             not allow another attempt."
        }
        refused if refused.starts_with("refused-") => {
            "It has not run: every attempt that it may make failed before it ran."
        }
        _ => "This version does not know this outcome.",
    }
}
