//! What events and outcomes mean, in words for someone who has not read the code.

/// Returns whether an event changes what a process believes.
pub(super) fn is_belief(event: &str) -> bool {
    let beliefs = [
        "start",
        "stopping",
        "stop",
        "rules",
        "strained",
        "unstrained",
        "memory-short",
        "memory-eased",
    ];
    let groups = ["store-", "peer-", "target-", "watch-"];
    beliefs.contains(&event) || groups.iter().any(|group| event.starts_with(group))
}

/// Returns whether an event ends a request.
pub(super) fn is_end(event: &str) -> bool {
    matches!(event, "end" | "reject")
}

/// Returns an event in words; one that is not known stands for itself.
pub(super) fn phrase(event: &str) -> &str {
    match event {
        "place" => "chose a target:",
        "send" => "sent it:",
        "first" => "the target's answer began:",
        "refuse" => "refused it:",
        "abandon" => "gave up a silent attempt",
        "expire" => "its time was over",
        "attempt-error" => "the attempt broke:",
        "attempt-failed" => "the attempt failed:",
        "stream-broken" => "the stream broke:",
        "reject" => "rejected it before it was queued:",
        "end" => "ended it:",
        "start" => "(the process started)",
        "stopping" => "(the process began to stop)",
        "stop" => "(the process stopped)",
        "rules" => "(rules came into force)",
        "store-lost" => "(the store was lost)",
        "store-regained" => "(the store was regained)",
        "watch-doubted" => "(the watch of the store was given up)",
        "strained" => "(the process fell behind and sent callers elsewhere)",
        "unstrained" => "(the process caught up)",
        "memory-short" => "(the process took nearly all of its memory)",
        "memory-eased" => "(the process had memory again)",
        "peer-joined" => "(a gateway joined)",
        "peer-left" => "(a gateway left)",
        "peer-lost" => "(a gateway fell silent)",
        "target-joined" => "(the target joined)",
        "target-draining" => "(the target drains)",
        "target-restarted" => "(the target started again)",
        "target-rests" => "(the target wants no requests for now)",
        "target-left" => "(the target left)",
        "target-lapsed" => "(the target's entry lapsed)",
        "target-moved" => "(another target has the address)",
        other => other,
    }
}

/// Returns what an outcome means for the caller, and where to look next.
pub(super) fn meaning(outcome: &str) -> &'static str {
    match outcome {
        "answered" => "It was answered with success; what was wrong lies in the answer itself.",
        "failure" => "The target answered with a failure; its own log says why.",
        "false-promise" => {
            "The target refused it without its mark that it had not run, so the caller was told \
             that it may have run; look at the target."
        }
        "refused-overload" => {
            "It has not run: requests of accounts that had less service would have kept it \
             waiting too long; compare what its account had and asked."
        }
        "refused-waited" => {
            "It has not run: no target had room within a part of its objective; compare the \
             queue and the targets that were lost at the time."
        }
        "refused-no-target" => {
            "It has not run: no target of its service was registered; look at the store and the \
             service."
        }
        "refused-resting" => {
            "It has not run: every target of its service had refused requests of this process \
             and named a time that was not over; look at the targets."
        }
        "no-rules" | "unconfirmed-rules" => {
            "It has not run: the process did not know, or could not confirm, the rules; look at \
             the store."
        }
        "no-route" | "unknown-key" | "two-hosts" => {
            "It has not run: the rules do not allow it; try `redwingyard explain`."
        }
        "expired" => "No answer came in time; it may have run. Look at the target it was sent to.",
        "broken" => "Its stream broke and was not continued; the attempts below say where and why.",
        "caller-gone" => "The caller left before the end; the work was stopped.",
        lost if lost.starts_with("lost-") => {
            "The target was lost after the request was sent; it may have run, and its route does \
             not allow another attempt."
        }
        refused if refused.starts_with("refused-") => {
            "It has not run: every attempt that it may make failed before it ran."
        }
        _ => "This outcome is not one that this version knows.",
    }
}
