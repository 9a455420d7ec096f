"""Shows that the tests can fail: breaks one mechanism at a time and runs its test.

Each mutant is applied to a copy of the source in a temporary folder; its test must fail
there. A mutant whose text is no longer in the source is an error, so the list stays valid.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 240
WORKERS = 4


class Mutant(NamedTuple):
    """A broken mechanism and the test that must fail."""

    name: str
    file: str
    old: str
    new: str
    test: str
    more: tuple[tuple[str, str, str], ...] = ()  # further edits: (file, old, new)


S = "tests/simulated/"
ONLINE = "tests/serving/test_online.py::"
BATCH = "tests/serving/test_batch.py::"
JOBS = "tests/serving/test_jobs.py::"
HEALTH = "tests/serving/test_store_health.py::"
SCHEDULER = "tests/serving/test_scheduler.py::"
COORDINATION = "tests/serving/test_coordination.py::"
FULL_NODES = "tests/serving/test_full_nodes.py::"
ROOM = "tests/unit/test_overload_monitor.py::"
ITEM_SLOTS = "tests/serving/test_item_slots.py::"
ITEM_WAITS = "tests/serving/test_item_waits.py::"
RETURN = "tests/serving/test_return.py::"
ADMISSION = "tests/unit/test_admission.py::"
PARTS = "tests/unit/test_serving_parts.py::"
TENANTS = "tests/serving/test_tenants.py::"
ANSWERS = "tests/serving/test_replica_answers.py::"
QUOTAS = "tests/unit/test_quotas.py::"
CRASHING = "tests/serving/test_crashing_requests.py::"
CASES = "tests/serving/test_crash_records.py::"
RECORDS = "tests/serving/test_job_records.py::"
STOP = "tests/serving/test_planned_stop.py::"
PARTS_CRASH = "tests/serving/test_crashing_parts.py::"
ITEM_ENDS = "tests/serving/test_item_ends.py::"
PROMISED = "tests/serving/test_promises.py::test_a_promise_is_given_only_where_no_replica_began"
REFUSALS = "tests/serving/test_refusals.py::"
JOB_REFUSALS = "tests/serving/test_job_refusals.py::"
ENTRIES = "tests/serving/test_replica_entries.py::"
RESTARTED = "tests/serving/test_restarted_replicas.py::"
WARMUP_LIMIT = "tests/unit/test_warmup_limit.py::"
WARMUP_FLEET = "tests/serving/test_warmup_fleet.py::"
SOURCES = "tests/serving/test_configuration_sources.py::"
SPREAD = "tests/serving/test_configuration_spread.py::"
DRAINS = "tests/serving/test_zone_drains.py::"
STREAMS = "tests/serving/test_stream_versions.py::"
RELEASES = "tests/serving/test_releases.py::"
SOFTWARE = "tests/serving/test_software_versions.py::"
VERSIONS = "tests/unit/test_version_records.py::"
OUTDATED = "tests/serving/test_outdated_configuration.py::"
NAMES = "tests/unit/test_interface_names.py::test_interface_names_are_unchanged"
SOAK_ENDS = (
    "tests/soak/test_soak_ends.py::"
    "test_results_ends_and_streams_outlast_an_uneven_store_and_planned_stops"
)
WITHOUT_REPAIRS = (
    (
        "jobs/view.py",
        "amended = stored if cached is None else with_progress_of(stored, cached)",
        "amended = stored",
    ),
    (
        "jobs/lister.py",
        "        stored = with_progress_of(newest, job.stored)\n",
        "        stored = newest\n",
    ),
    ("jobs/takeover.py", "        if amended is not owned:", "        if False:"),
)
"""Takes out what restores the progress of a job that another writer lost."""

SOAK_TAKE_UPS = (
    "tests/soak/test_soak_take_ups.py::"
    "test_streams_taken_up_at_a_node_out_of_step_keep_their_version"
)
SOAK = "tests/soak/test_soak_short.py::test_short_soak_has_no_violations"
SAMPLES = "tests/builds/test_recorded_samples.py::"
MUTANTS = [
    Mutant(
        "an earlier record is ignored",
        "control/results.py",
        "            on_done(json.decode(reply.conflicts[0].value, type=Result))",
        "            on_done(result)",
        S + "test_at_most_once.py::test_a_holder_that_wakes_up_tells_what_was_recorded_meanwhile",
    ),
    Mutant(
        "segments are committed without fence and row check",
        "control/job_owner.py",
        "[fence, Check(job_key(row.job_id), owned.row_version), Check(segment_key, 0)]",
        "[]",
        S + "test_exactly_once.py::test_a_job_owner_paused_past_its_lease_commits_nothing_more",
    ),
    Mutant(
        "a second result of an item is taken",
        "core/batch_job.py",
        "            return False\n        if state == ItemState.PENDING:",
        "            pass\n        if state == ItemState.PENDING:",
        "tests/unit/test_batch_job.py",
    ),
    Mutant(
        "an older placer's order is obeyed",
        "control/replica_owner.py",
        "        is_stale = message.placer_epoch < highest",
        "        is_stale = False",
        S + "test_models.py::test_an_order_of_an_older_placer_is_refused",
    ),
    Mutant(
        "a replica loads a model while requests run",
        "control/replica_owner.py",
        "        if not owned.slots.running and not owned.slots.queue:\n            switch.is_sent",
        "        if True:\n            switch.is_sent",
        S + "test_models.py::test_a_busy_replica_ends_its_requests_before_it_loads",
    ),
    Mutant(
        "the last replica of a model in use is taken",
        "core/model_placement.py",
        "    return counts[model] > 1 or demand.get(model, 0.0) <= 0",
        "    return True",
        "tests/unit/test_model_placement.py",
    ),
    Mutant(
        "a waiter that gives up ends the run",
        "core/idempotency.py",
        "active_run is not None and active_run.runner.token != token",
        "False",
        S + "test_exactly_once.py::test_a_waiter_that_gives_up_does_not_end_the_run_it_waited_for",
    ),
    Mutant(
        "concurrent sends of one key all run",
        "core/idempotency.py",
        "            return JoinVerdict.WAIT, None",
        "            return JoinVerdict.RUN, None",
        S + "test_exactly_once.py::test_concurrent_sends_of_one_key_run_once",
    ),
    Mutant(
        "a lost commit answer counts as a conflict",
        "control/store_port.py",
        "any(row.op_id == op_id for row in reply.conflicts)",
        "False",
        S + "test_table.py::test_an_edit_whose_answer_the_store_lost_is_known_to_be_accepted",
    ),
    Mutant(
        "a cancel is acknowledged before replica owners confirm",
        "control/cancel_coordinator.py",
        "        if barrier.replicas is not None and barrier.replicas <= barrier.acked:",
        "        if True:",
        S + "test_cancel.py::test_a_cancel_waits_for_a_paused_replica_owner",
    ),
    Mutant(
        "a cancel does not stop running items",
        "control/replica_owner.py",
        "            self._stop_batch(owned, message.job_id)",
        "            pass",
        S + "test_cancel.py::test_a_cancelled_job_stops",
    ),
    Mutant(
        "online work does not suspend batch",
        "control/replica_owner.py",
        "            self._suspend(owned, len(slots.queue) - slots.stopping_count)",
        "            pass",
        S
        + "test_online_first.py::test_an_online_start_is_never_preceded_by_a_wait_for_a_batch_end",
    ),
    Mutant(
        "suspended items start from the beginning",
        "control/replica_owner.py",
        "        resume_text = text or work.resume_text",
        '        resume_text = ""',
        S + "test_online_first.py::test_suspended_items_resume_from_where_they_stopped",
    ),
    Mutant(
        "batch is never pulled after the first time",
        "control/batch_filler.py",
        "            owned.pulling += self._puller.pull(owned.replica, owned.model, room, longest)",
        "            if not owned.slots.running:\n"
        "                owned.pulling += self._puller.pull(owned.replica, owned.model, 1, 1e9)",
        S + "test_online_first.py::test_idle_capacity_is_used_by_batch",
    ),
    Mutant(
        "an offered request counts as not run",
        "pipeline/dispatch.py",
        "        request.unaccounted_attempts += 1\n",
        "",
        S + "test_at_most_once.py::test_a_request_that_started_is_never_told_to_be_not_run",
    ),
    Mutant(
        "a marked request is sent without a claim",
        "pipeline/dispatch.py",
        "        if request.call.at_most_once:\n            self._claims.claim",
        "        if False:\n            self._claims.claim",
        S + "test_at_most_once.py",
    ),
    Mutant(
        "a lost attempt of a marked request is repeated",
        "pipeline/dispatch.py",
        "        if request.call.at_most_once:\n            context = self._context",
        "        if False:\n            context = self._context",
        S + "test_at_most_once.py::test_the_replica_owner_dies_while_the_engine_runs",
    ),
    Mutant(
        "the sign of leaving is not kept",
        "control/replica_owner.py",
        "        self.leaving_replicas.add(replica)\n",
        "        return False\n",
        S + "test_leaving.py::test_a_leaving_replica_gets_no_start_after_a_few_seconds",
    ),
    Mutant(
        "a replica that left is never used again",
        "control/machine_directory.py",
        "                self._on_returned(machine.machine_id)",
        "                pass",
        S + "test_leaving.py::test_a_replica_that_left_and_came_back_is_used_again",
    ),
    Mutant(
        "a planned stop does not wait for its requests",
        "node/node.py",
        "            and self.reply.open_count == 0\n",
        "",
        S + "test_leaving.py::test_each_node_stops_under_load_and_no_request_is_cut_off",
    ),
    Mutant(
        "a planned stop does not drain its replicas",
        "control/replica_owner.py",
        "        if owned.slots.running or owned.slots.queue:\n            return",
        "        pass",
        S + "test_leaving.py::test_each_node_stops_under_load_and_no_request_is_cut_off",
    ),
    Mutant(
        "a release is not told to peers",
        "node/node.py",
        "                self.context.membership.note_release(sender, message.resource)\n",
        "",
        S + "test_leaving.py::test_a_stop_hands_leases_over_without_waiting_for_their_lapse",
    ),
    Mutant(
        "any pushed table is taken",
        "control/table_sync.py",
        "        if table.version <= before.version:",
        "        if table.version == before.version:",
        S + "test_table.py::test_a_late_push_of_an_older_table_changes_nothing",
    ),
    Mutant(
        "a patch is applied to any version",
        "control/table_sync.py",
        "        if message.base_version != table.version:",
        "        if False:",
        S + "test_table.py::test_a_node_that_missed_a_patch_fetches_the_table",
    ),
    Mutant(
        "an edit does not check the version",
        "control/table_sync.py",
        "        checks = [Check(TABLE_KEY, expected_version), Check(key, 0)]",
        "        checks: list[Check] = []",
        S + "test_table.py::test_one_of_two_racing_edits_wins_and_the_loser_is_told_the_row",
    ),
    Mutant(
        "a starting node serves without a table",
        "node/node.py",
        "        if not self.table.is_loaded:\n            return",
        "        pass",
        S + "test_table.py::test_a_restarted_node_never_serves_an_older_version",
    ),
    Mutant(
        "a node cut off from all goes on with batch",
        "control/batch_filler.py",
        "return self._policy.runs_batch and self._leases.is_valid and not self._table.is_stale",
        "return True",
        S + "test_table.py::test_a_node_cut_off_from_all_starts_no_batch_work_and_shows_as_stale",
        more=(
            (
                "control/job_owner.py",
                "shard not in self._draining and self._leases.is_valid",
                "shard not in self._draining",
            ),
        ),
    ),
    Mutant(
        "limit shares rise at once",
        "core/limit_shares.py",
        "    return min(target, share * MAX_RISE_FACTOR + MAX_RISE_STEP)",
        "    return target",
        S + "test_table.py::test_limits_of_the_table_hold_for_the_fleet_within_seconds",
    ),
    Mutant(
        "a result is answered without a holder",
        "control/results.py",
        "            context.send(node, HoldResult(result.request_id, result, token))",
        "            self.on_hold_ack(HoldAck(result.request_id, token, True))",
        S + "test_outage.py::test_online_answers_go_on_and_outlive_the_node_that_answered",
    ),
    Mutant(
        "held results are not drained",
        "control/results.py",
        "        if not self._store.is_down:\n            self._drain()",
        "        pass",
        S + "test_outage.py::test_online_answers_go_on_and_outlive_the_node_that_answered",
    ),
    Mutant(
        "an unreadable session is called unknown",
        "control/sessions.py",
        "            on_done(SessionFound.UNAVAILABLE, None)",
        "            on_done(SessionFound.MISSING, None)",
        S + "test_outage.py::test_sessions_outlive_nodes_and_outages",
    ),
    Mutant(
        "retries have no budget",
        "pipeline/dispatch.py",
        "or not self._budget.spend()",
        "or False",
        S + "test_overload.py::test_retries_in_a_brown_out_stay_within_the_budget",
    ),
    Mutant(
        "online queues are not bounded",
        "control/replica_owner.py",
        "        if waiting >= can_free + self._context.settings.online.max_queue_per_replica:",
        "        if False:",
        S + "test_overload.py",
    ),
    Mutant(
        "chunks of other attempts are taken",
        "core/collect.py",
        "        if chunk.request_id != self._request_id or chunk.attempt != self.attempt:",
        "        if chunk.request_id != self._request_id:",
        "tests/unit/test_collect.py",
    ),
    Mutant(
        "chunks are taken in the order they come",
        "core/collect.py",
        "        while self.tokens in self._buffered:",
        "        self.tokens = min(self._buffered)\n        while self.tokens in self._buffered:",
        "tests/unit/test_collect.py",
    ),
    Mutant(
        "a lease is taken without looking at the holder's liveness",
        "control/leases.py",
        "        return now - sighting.seen_at > self._context.settings.lease.lease_s",
        "        return True",
        "tests/simulated/test_leases.py",
    ),
    Mutant(
        "a holder never considers its lease lapsed",
        "control/leases.py",
        "            self._has_lapsed = True",
        "            self._has_lapsed = False",
        "tests/simulated/test_leases.py",
    ),
    Mutant(
        "the engine is not told a new owner's epoch",
        "emulator/engine_model.py",
        "        self.epoch = epoch\n        old",
        "        old",
        "tests/simulated/test_leases.py",
    ),
    Mutant(
        "serving: a promise is given though a replica had the request",
        "gateway/progress.py",
        "        return self.is_sent or bool(self.tried)",
        "        return bool(self.tried)",
        ONLINE + "test_request_past_deadline_gets_504",
    ),
    Mutant(
        "serving: the id of an answer is not checked",
        "gateway/replica_connection.py",
        "if answered == request_id or (answered is None and self._exchange_count == 1):",
        "if True:",
        ONLINE + "test_answers_to_other_requests_are_not_relayed",
    ),
    Mutant(
        "serving: an unsigned answer is passed on",
        "gateway/relay.py",
        "        if not head.fields.is_signed:",
        "        if False:",
        ONLINE + "test_resumable_stream_resumes_at_another_replica",
    ),
    Mutant(
        "serving: the instance is not expected",
        "platform/codec.py",
        '        forwarded.append((names.EXPECT_INSTANCE, replica_id.encode("latin-1")))\n',
        "",
        ONLINE + "test_request_is_not_run_by_another_instance_at_the_address",
    ),
    Mutant(
        "serving: an older configuration is taken",
        "gateway/configuration.py",
        "        if configuration.version <= self.version:",
        "        if configuration.version == self.version:",
        ONLINE + "test_routes_follow_newest_configuration_only",
    ),
    Mutant(
        "serving: peers send no copies",
        "fleet/state_sender.py",
        "        if now - entry.state_sent_at < COPY_INTERVAL_S:",
        "        if True:",
        ONLINE + "test_node_without_store_gets_state_from_peers",
    ),
    Mutant(
        "serving: the client is not watched",
        "gateway/server.py",
        "            if not data:\n                await task.cancel(blocking=False)\n",
        "            if not data:\n",
        ONLINE + "test_client_disconnect_before_first_event_cancels_work",
    ),
    Mutant(
        "serving: results are listed without the record's version",
        "jobs/lister.py",
        "        listing = transaction(write, puts=self._result_puts(job, group))",
        "        listing = transaction(write, puts=self._result_puts(job, group))\n"
        "        listing.expectations.clear()",
        JOBS + "test_former_owner_lists_no_results",
    ),
    Mutant(
        "serving: another group follows an unsettled one",
        "jobs/lister.py",
        "                await self._reconcile(job, group, write, outcome)\n                return",
        "                await self._reconcile(job, group, write, outcome)\n            return",
        JOBS + "test_lost_commit_answer_does_not_list_results_twice",
    ),
    Mutant(
        "serving: an unsure hand-in is called not run",
        "jobs/writes.py",
        "        if outcome.status is CommitStatus.NOT_DONE:",
        "        if outcome.status is not CommitStatus.COMMITTED:",
        JOBS + "test_unresolved_submission_is_not_answered_as_not_run",
    ),
    Mutant(
        "serving: hand-ins don't meet at the quota row",
        "jobs/intake.py",
        "                transaction(job_write, *quota_writes, puts=payload), deadline, refuse_at",
        "                transaction(job_write, puts=payload), deadline, refuse_at",
        JOBS + "test_quota_holds_for_concurrent_submissions",
    ),
    Mutant(
        "serving: a job that was not read is denied",
        "jobs/reader.py",
        "JobError(Reason.UNAVAILABLE, error.code,",
        "JobError(Reason.NOT_FOUND, error.code,",
        JOBS + "test_missing_job_is_404_only_when_store_confirms_it",
    ),
    Mutant(
        "serving: output of two owners is joined",
        "jobs/run.py",
        "        by_series.setdefault((partial.index, partial.epoch), []).append(partial)",
        "        by_series.setdefault((partial.index, 0), []).append(partial)",
        JOBS + "test_restored_output_is_a_prefix_saved_by_one_owner",
    ),
    Mutant(
        "serving: nobody takes over jobs",
        "jobs/assigner.py",
        "        if self._is_orphan(record, now):",
        "        if False:",
        BATCH + "test_job_of_killed_owner_continues_at_another_node",
    ),
    Mutant(
        "serving: batch does not give way",
        "scheduling/batch_limits.py",
        "    return max(0, min(in_flight.batch, in_flight.total - slots))",
        "    return 0",
        BATCH + "test_online_requests_preempt_items",
    ),
    Mutant(
        "serving: an ended job goes on",
        "jobs/verifier.py",
        "        return is_owner and not record.is_ended",
        "        return is_owner",
        BATCH + "test_ended_job_starts_no_more_items",
    ),
    Mutant(
        "serving: the records of a node's jobs are read one after the other",
        "jobs/verifier.py",
        "await curio.spawn(self._verify_in_time, job, daemon=True)",
        "await self._verify_in_time(job)",
        "tests/serving/test_ended_jobs.py",
    ),
    Mutant(
        "serving: a draining replica is used",
        "gateway/replicas.py",
        "        return None if replica is None or replica.is_draining else replica",
        "        return replica",
        ONLINE + "test_draining_or_removed_replica_gets_no_new_requests",
    ),
    Mutant(
        "serving: a node without a configuration denies",
        "serving/request_handler.py",
        'GatewayError(Reason.UNAVAILABLE, "no_configuration"',
        'GatewayError(Reason.NOT_FOUND, "no_configuration"',
        ONLINE + "test_node_without_configuration_is_not_ready_and_answers_503",
    ),
    Mutant(
        "serving: an item is tried without end",
        "jobs/run.py",
        "        if evidence is None:",
        "        if True:",
        BATCH + "test_failing_items_are_dead_after_allowed_attempts",
    ),
    Mutant(
        "serving: free slots are not left to items due sooner",
        "scheduling/batch.py",
        "        return (self.group.sort_key, self.node, self.group.replica_id)",
        "        return (0, self.node, self.group.replica_id)",
        SCHEDULER + "test_items_due_sooner_get_the_next_free_slot_whichever_node_has_them",
    ),
    Mutant(
        "serving: a job in hand is taken over",
        "jobs/takeover.py",
        "            is_handled = job_id in self._runner.jobs or job_id in self._submitting_ids",
        "            is_handled = job_id in self._runner.jobs",
        BATCH + "test_job_is_not_taken_over_during_submission",
    ),
    Mutant(
        "serving: pauses go on beyond the store's return",
        "store/health.py",
        "        recovered = self._recovered if self.is_unavailable else None",
        "        recovered = None",
        HEALTH + "test_a_transaction_in_backoff_is_retried_when_the_store_recovers",
    ),
    Mutant(
        "serving: output is not saved at the store's return",
        "jobs/checkpoint.py",
        "            await self._health.backoff(SAVE_INTERVAL_MS)",
        "            await curio.sleep(SAVE_INTERVAL_MS / 1000)",
        HEALTH + "test_running_items_are_checkpointed_when_the_store_recovers",
        (
            (
                "jobs/checkpoint.py",
                "from cloverwalk.jobs.commit",
                "import curio\nfrom cloverwalk.jobs.commit",
            ),
        ),
    ),
    Mutant(
        "serving: the store's return is not told",
        "serving/store_probe.py",
        "            self._fleet.transport.send("
        "target.host, StoreReturned(self._fleet.identity.node))",
        "            pass",
        HEALTH + "test_a_node_that_sees_the_store_recover_notifies_its_peers",
    ),
    Mutant(
        "serving: prompts to read are not counted",
        "scheduling/replica_view.py",
        "        self._prefill_until[replica_id] = begins_at + prefill_ms / 1000",
        "        self._prefill_until[replica_id] = begins_at",
        SCHEDULER + "test_long_prompt_counts_until_it_is_prefilled",
    ),
    Mutant(
        "serving: a removed job comes back",
        "jobs/view.py",
        "        if self._removed.get(job_id, -1) > stored.version:",
        "        if False:",
        JOBS + "test_outdated_read_does_not_restore_removed_job",
    ),
    Mutant(
        "serving: what clients do not read grows without bound",
        "gateway/memory_budget.py",
        "        while self._readers and not self._fits(needed):",
        "        while False:",
        FULL_NODES + "test_clients_that_do_not_read_use_bounded_memory_and_no_slots",
    ),
    Mutant(
        "serving: a node as full as its zone turns work away",
        "gateway/overload_monitor.py",
        "        if excess < (PEER_MARGIN / 2 if was_full else PEER_MARGIN):",
        "        if False:",
        ROOM + "test_node_with_equally_full_or_unknown_peers_stays_normal",
    ),
    Mutant(
        "serving: a client that does not read is kept",
        "gateway/reply.py",
        "            async with curio.timeout_after(SEND_TIMEOUT_S):",
        "            async with curio.timeout_after(3600):",
        ONLINE + "test_client_that_does_not_read_is_dropped",
    ),
    Mutant(
        "serving: one item gives way a request",
        "scheduling/batch_limits.py",
        "    return max(0, min(in_flight.batch, in_flight.total - slots))",
        "    return max(0, min(1, in_flight.batch, in_flight.total - slots))",
        PARTS + "test_items_are_preempted_for_online_work",
    ),
    Mutant(
        "serving: requests beyond the slots are sent all the same",
        "scheduling/admission.py",
        "    return PlacementVerdict.RETRY_LATER if may_retry_later else PlacementVerdict.QUEUE",
        "    return PlacementVerdict.SEND",
        ONLINE + "test_requests_beyond_free_slots_get_retry_after_and_do_not_run",
    ),
    Mutant(
        "serving: who came back is turned away again",
        "scheduling/admission.py",
        "    return PlacementVerdict.RETRY_LATER if may_retry_later else PlacementVerdict.QUEUE",
        "    return PlacementVerdict.RETRY_LATER",
        ADMISSION + "test_retry_is_not_refused_again",
    ),
    Mutant(
        "serving: patient requests fill the queues of urgent ones",
        "scheduling/wait_limits.py",
        "            if urgent <= priority",
        "            if urgent < 0",
        ADMISSION + "test_less_urgent_requests_do_not_make_urgent_ones_late",
    ),
    Mutant(
        "serving: three dead replicas end a request",
        "gateway/relay.py",
        "MAX_REFUSALS = 8",
        "MAX_REFUSALS = 3",
        ONLINE + "test_request_reaches_only_reachable_replica",
    ),
    Mutant(
        "serving: decisions count only when they are reported",
        "scheduling/replica_load_tracker.py",
        "        self._change(replica_id, _expected_load(decision), 1)\n\n    def remove_node",
        "\n    def remove_node",
        SCHEDULER + "test_free_slots_are_granted_to_waiting_items_at_once_and_none_twice",
    ),
    Mutant(
        "serving: items that were told to give way still count",
        "scheduling/batch.py",
        "replica_id, batch=-count, tokens=tokens, now=now\n",
        "replica_id, batch=0, now=now\n",
        SCHEDULER + "test_one_item_is_preempted_per_online_request_and_no_more",
    ),
    Mutant(
        "memory: a request is placed beside more than fits",
        "scheduling/replica_memory.py",
        "return limit_tokens == 0 or work.tokens - work.batch_tokens + tokens <= limit_tokens",
        "return limit_tokens == 0 or tokens <= limit_tokens",
        "tests/serving/test_replica_memory.py::"
        "test_no_burst_of_long_requests_fills_a_replica_beyond_its_memory",
    ),
    Mutant(
        "memory: items keep the memory that an online request needs",
        "scheduling/replica_view.py",
        "return max(by_slots, self._memory.items_to_preempt(replica, now))",
        "return by_slots",
        "tests/serving/test_replica_memory.py::"
        "test_items_are_preempted_for_the_memory_of_an_online_request",
    ),
    Mutant(
        "serving: an order settles when its items have given way",
        "fleet/coordinator_client.py",
        "        self._last_applied_orders[host] = (orders.sender, orders.number)\n"
        "        target =",
        "        target =",
        ITEM_SLOTS + "test_orders_are_applied_in_sequence_during_preemption",
        more=(
            (
                "fleet/coordinator_client.py",
                "        if orders.grants or orders.revokes:\n",
                "        self._last_applied_orders[host] = (orders.sender, orders.number)\n"
                "        if orders.grants or orders.revokes:\n",
            ),
            (
                "jobs/runner.py",
                "        for running in preempted:\n"
                "            await running.task.cancel(blocking=False)",
                "        for running in preempted:\n            await running.task.cancel()",
            ),
        ),
    ),
    Mutant(
        "serving: items that give way count until they have closed",
        "jobs/runner.py",
        "            self._loads.end(running.work)\n        return preempted",
        "        return preempted",
        ITEM_SLOTS + "test_report_counts_an_order_completely_or_not_at_all",
        more=(
            (
                "jobs/runner.py",
                "        if not running.is_preempted:\n            self._loads.end",
                "        if True:\n            self._loads.end",
            ),
        ),
    ),
    Mutant(
        "serving: orders wait until items have given way",
        "jobs/runner.py",
        "        for running in preempted:\n            await running.task.cancel(blocking=False)",
        "        for running in preempted:\n            await running.task.cancel()",
        ITEM_SLOTS + "test_orders_do_not_wait_for_preempted_items",
    ),
    Mutant(
        "serving: items take slots before held requests",
        "scheduling/online.py",
        "            replica_id = self._place_or_queue(queued, False, now)\n",
        "            replica_id = None\n",
        SCHEDULER + "test_queued_request_gets_the_next_slot_before_any_item",
    ),
    Mutant(
        "serving: orders take effect each time they come",
        "fleet/coordinator_client.py",
        "        if run == orders.sender and orders.number <= last_applied:",
        "        if False:",
        COORDINATION + "test_orders_are_applied_once_and_only_from_the_followed_node",
    ),
    Mutant(
        "zones: standbys are chosen by name alone",
        "fleet/node_registry.py",
        "            return _choose_by_zone(candidates, coordinator_zone)",
        "            pass",
        "tests/serving/test_zone_loss.py::"
        "test_each_other_zone_has_a_standby_that_is_replaced_if_killed",
    ),
    Mutant(
        "zones: who takes the role forgets the nodes elsewhere",
        "fleet/coordinator.py",
        "            nodes = max(nodes, self._fleet_size) if is_recent else nodes",
        "            pass",
        "tests/serving/test_zone_loss.py::"
        "test_zone_that_is_cut_off_is_granted_its_own_slots_and_rejoins",
    ),
    Mutant(
        "zones: one failed replica shuts its zone out",
        "scheduling/zone_reachability.py",
        "        if not link.is_unreachable and len(link.failed_at) >= needed:",
        "        if not link.is_unreachable:",
        "tests/serving/test_zone_loss.py::"
        "test_few_failures_or_an_answer_between_them_keep_zone_reachable",
    ),
    Mutant(
        "serving: a node that nobody answers starts items",
        "fleet/coordinator_client.py",
        "            report.waiting = {}",
        "            pass",
        COORDINATION + "test_isolated_node_starts_no_items",
    ),
    Mutant(
        "serving: no standby follows a coordinator that is gone",
        "fleet/election.py",
        "rank * CLAIM_DELAY_PER_RANK_S\n            ):\n                return True",
        "rank * CLAIM_DELAY_PER_RANK_S\n            ):\n                return False",
        COORDINATION + "test_first_standby_takes_over_from_killed_coordinator",
    ),
    Mutant(
        "serving: a claim of a node that nobody hears stands",
        "fleet/election.py",
        "        elif now - self._superseded_since >= VERIFY_INTERVAL_S "
        "and self._has_reporting_peers():",
        "        elif False:",
        COORDINATION + "test_isolated_node_does_not_keep_the_role_from_the_coordinator",
    ),
    Mutant(
        "serving: a lost change of the replicas stays lost",
        "fleet/state_sender.py",
        "report.directory != self._directory.fingerprint",
        "report.directory != report.directory",
        COORDINATION + "test_lost_replica_change_is_repaired_after_the_next_report",
    ),
    Mutant(
        "serving: a silent coordinator is waited for",
        "fleet/coordinator_client.py",
        "        self._leader.mark_unresponsive(target.host)\n",
        "",
        COORDINATION + "test_standby_answers_placement_requests_while_coordinator_is_unresponsive",
    ),
    Mutant(
        "serving: keys are looked up in the first configuration",
        "gateway/configuration.py",
        "        self.tenants = TenantDirectory(configuration.tenants or ())",
        "        if not self.tenants.by_name:\n"
        "            self.tenants = TenantDirectory(configuration.tenants or ())",
        TENANTS + "test_a_revoked_key_is_rejected_on_an_open_connection",
    ),
    Mutant(
        "serving: a client names its tenant",
        "platform/codec.py",
        "        names.TENANT.lower(),\n",
        "",
        TENANTS + "test_a_replica_receives_the_tenant_name_and_no_key",
    ),
    Mutant(
        "serving: the key goes to the replica",
        "serving/request_handler.py",
        "            request.headers = self._codec.without_key(request.headers)",
        "            pass",
        TENANTS + "test_no_output_contains_a_key",
    ),
    Mutant(
        "serving: a takeover begins with full buckets",
        "scheduling/quotas.py",
        "            bucket.drain_to(self._unknown_count_level(tenant) + gained, now)",
        "            pass",
        QUOTAS + "test_quota_holds_through_a_takeover",
    ),
    Mutant(
        "serving: each deputy gives out the whole quota",
        "scheduling/quotas.py",
        "        fraction = min(1.0, reporting_nodes / nodes) if nodes > 0 else 0.0",
        "        fraction = 1.0",
        QUOTAS + "test_quota_holds_while_nodes_decide_independently",
    ),
    Mutant(
        "serving: what deputies gave out is not counted",
        "scheduling/quotas.py",
        "            account.bucket.take_on_credit(now, float(count))",
        "            pass",
        QUOTAS + "test_local_grants_are_counted_once",
    ),
    Mutant(
        "serving: any tenant reads any job",
        "jobs/service.py",
        "        if record.tenant != tenant:",
        "        if False:",
        TENANTS + "test_a_job_is_visible_to_its_tenant_only",
    ),
    Mutant(
        "serving: tenants share a quota of waiting tokens",
        "jobs/records.py",
        'f"{route_name}/{tenant}" if tenant else route_name',
        "route_name",
        TENANTS + "test_the_queued_token_limit_is_counted_per_tenant",
    ),
    Mutant(
        "serving: a job is taken at time zero",
        "jobs/intake.py",
        "        time = self._store_time()\n        if time is None:",
        "        time = self._store_time() or StoreTime(0.0, 0.0)\n        if time is None:",
        JOBS + "test_submission_is_refused_while_store_time_is_unknown",
    ),
    Mutant(
        "serving: a job's retention is counted from the least that the store's time can be",
        "jobs/intake.py",
        "        accepted_ms = time.latest_ms",
        "        accepted_ms = time.earliest_ms",
        ITEM_ENDS + "test_items_are_kept_for_retention_when_store_time_is_learnt_late",
    ),
    Mutant(
        "serving: retention is over by the most that the store's time can be",
        "jobs/evidence.py",
        "    if is_kept_forever or time.earliest_ms <= give_up_ms:",
        "    if is_kept_forever or time.latest_ms <= give_up_ms:",
        ITEM_ENDS + "test_uncertain_store_time_ends_no_item_early",
    ),
    Mutant(
        "serving: a route has ended by any configuration that lacks it",
        "jobs/evidence.py",
        "        confirmed_ms = confirmed_at_ms - since_ms",
        "        confirmed_ms = now_ms - since_ms",
        ITEM_ENDS + "test_route_missing_from_older_configuration_ends_no_item",
    ),
    Mutant(
        "serving: the time of the store is kept against an answer that contradicts it",
        "store/clock.py",
        "        if jump_ms > 0:",
        "        if False:",
        HEALTH + "test_the_store_clock_recovers_after_a_machine_suspension",
    ),
    Mutant(
        "serving: a job keeps the retention of the version that took it",
        "jobs/evidence.py",
        "        kept_ms = max(kept_ms, route.retention_s * 1000)",
        "        pass",
        ITEM_ENDS + "test_raised_retention_applies_to_waiting_jobs",
    ),
    Mutant(
        "serving: a job keeps the attempts of the version that took it",
        "jobs/evidence.py",
        "        max_attempts = max(max_attempts, route.max_attempts)",
        "        pass",
        BATCH + "test_raised_attempt_limit_applies_to_accepted_items",
    ),
    Mutant(
        "serving: no retention is one of zero",
        "jobs/evidence.py",
        "    is_kept_forever = kept_ms <= 0",
        "    is_kept_forever = False",
        ITEM_ENDS + "test_route_without_retention_ends_no_item",
    ),
    Mutant(
        "serving: a route has ended with the first look without it",
        "jobs/evidence.py",
        "        if confirmed_ms <= self.CONFIRMATION_DELAY_MS:",
        "        if confirmed_ms < 0:",
        ITEM_ENDS + "test_route_missing_from_older_configuration_ends_no_item",
    ),
    Mutant(
        "serving: a shadowed batch route has ended",
        "jobs/runner.py",
        "configuration.find_batch_route(job",
        "configuration.find_route(job",
        ITEM_ENDS + "test_longer_prefix_of_another_route_kind_ends_no_item",
    ),
    Mutant(
        "serving: a hand-in begins anew what its node has taken over",
        "jobs/intake.py",
        "        is_new = record.epoch == 1 and record.listed == 0",
        "        is_new = True",
        JOBS + "test_resubmitted_job_is_not_restarted_after_takeover",
    ),
    Mutant(
        "serving: the time of the store is set back by an answer that lay unread",
        "store/clock.py",
        "max(self._min_offset_ms, min_offset_ms)",
        "min_offset_ms",
        HEALTH + "test_an_answer_read_late_does_not_set_the_store_clock_back",
    ),
    Mutant(
        "serving: totals of many replicas are told each second",
        "fleet/coordinator.py",
        "        if entry_count <= MAX_TOTALS_ENTRIES_PER_S * TOTALS_INTERVAL_S:",
        "        if entries >= 0:",
        COORDINATION + "test_replica_totals_of_large_fleet_stay_within_bandwidth_limit",
    ),
    Mutant(
        "serving: a long list of replicas is sent to nodes that read it themselves",
        "fleet/state_sender.py",
        "        if parts > 1 and entry.report.store_age_ms < MAX_SERVED_STORE_AGE_MS:",
        "        if False:",
        COORDINATION + "test_long_replica_list_is_not_sent_to_nodes_that_the_store_serves",
    ),
    Mutant(
        "serving: a list of replicas is taken before all its parts have come",
        "fleet/directory_sync.py",
        "        if len(self._parts) < update.parts:\n            return None\n",
        "",
        COORDINATION + "test_long_replica_list_is_sent_in_parts_to_node_that_the_store_refuses",
    ),
    Mutant(
        "serving: connections that rest outlive a silent one",
        "gateway/replica_connection.py",
        "                if idle_connection.released_at < connection.acquired_at",
        "                if False",
        "tests/serving/test_silent_connections.py::test_silent_idle_connections_delay_one_request",
    ),
    Mutant(
        "serving: refusals: the final answer is made without a look at the work",
        "core/error_response.py",
        "str(error), work.state, error.retry_after_s)",
        "str(error), WorkState.NOT_BEGUN, error.retry_after_s)",
        PROMISED,
    ),
    Mutant(
        "serving: refusals: the progress always says that nothing has begun",
        "gateway/progress.py",
        "        return WorkState.MAY_HAVE_BEGUN if self.may_have_run else WorkState.NOT_BEGUN",
        "        return WorkState.NOT_BEGUN",
        PROMISED,
    ),
    Mutant(
        "serving: refusals: the progress forgets failed attempts",
        "gateway/progress.py",
        "        replica_ids = self.tried if self.is_sent else self.refused",
        "        replica_ids = self.refused",
        PROMISED,
    ),
    Mutant(
        "serving: refusals: sending is not noted",
        "gateway/progress.py",
        "        self.is_sent = True",
        "        self.is_sent = False",
        PROMISED,
    ),
    Mutant(
        "serving: refusals: any refusing status of a replica is a proof",
        "gateway/relay.py",
        "    return head.fields.was_not_run and head.status >= MIN_FAILURE_STATUS",
        "    return head.status in (408, 421, 429, 503)",
        PROMISED,
    ),
    Mutant(
        "serving: refusals: a success proves that nothing was run",
        "gateway/relay.py",
        "    return head.fields.was_not_run and head.status >= MIN_FAILURE_STATUS",
        "    return head.fields.was_not_run",
        REFUSALS + "test_not_run_proof_on_success_is_ignored",
    ),
    Mutant(
        "serving: refusals: a replica's refusal without proof is handed on",
        "gateway/answer_relay.py",
        "        if head.status in NOT_RUN_STATUSES:",
        "        if False:",
        PROMISED,
    ),
    Mutant(
        "serving: refusals: callers are invited to repeat what may have begun",
        "core/error_response.py",
        "        return self.error_retry_after_s if self.work is WorkState.NOT_BEGUN else None",
        "        return self.error_retry_after_s",
        REFUSALS + "test_placement_refusal_after_run_is_answered_502",
    ),
    Mutant(
        "serving: refusals: a refusal that breaks off is no proof",
        "gateway/relay.py",
        "            progress.mark_not_run()\n",
        "",
        REFUSALS + "test_cut_refusal_still_proves_not_run",
    ),
    Mutant(
        "serving: refusals: a transaction that was sent counts as not done",
        "jobs/writes.py",
        "        may_be_done, self._may_be_done = self._may_be_done, True",
        "        may_be_done, self._may_be_done = self._may_be_done, False",
        JOB_REFUSALS + "test_refused_submission_is_never_stored",
    ),
    Mutant(
        "serving: refusals: an end without an answer counts as not done",
        "jobs/writes.py",
        "        if outcome.status is CommitStatus.NOT_DONE:",
        "        if outcome.status is not CommitStatus.COMMITTED:",
        JOB_REFUSALS + "test_refused_end_never_takes_effect",
    ),
    Mutant(
        "refusals: the daemon's status is any that was wanted",
        "pipeline/problem.py",
        "        if self.outcome is not Outcome.NOT_RUN and",
        "        if False and",
        S + "test_at_most_once.py::test_a_request_that_started_is_never_told_to_be_not_run",
    ),
    Mutant(
        "refusals: the daemon gives up without a look at the request",
        "pipeline/reply.py",
        "        error.note_outcome(request.outcome_if_given_up)\n",
        "",
        "tests/unit/test_problem.py::test_give_up_derives_status_from_unaccounted_attempts",
    ),
    Mutant(
        "serving: refusals: any failure of the store says that nothing was done",
        "platform/store_client.py",
        "            is_refused = response.status < 500 or response.status in NOT_DONE_STATUSES",
        "            is_refused = True",
        JOB_REFUSALS + "test_store_error_is_not_answered_as_not_run",
    ),
    Mutant(
        "answers: runs of one item share a connection",
        "gateway/replica_connection.py",
        "if not connection.has_carried(request_id)]",
        "]",
        ANSWERS + "test_late_second_answer_is_not_used_for_current_run_of_item",
    ),
    Mutant(
        "answers: unread bytes of a connection that rests are not looked at",
        "gateway/replica_connection.py",
        "            if self._clock() < connection.usable_until and not connection.has_unread():",
        "            if self._clock() < connection.usable_until:",
        ANSWERS + "test_answers_do_not_mix_and_cut_answers_are_incomplete",
    ),
    Mutant(
        "answers: bytes read behind an answer are not looked at",
        "gateway/replica_connection.py",
        "is not h11.DONE or trailing or is_closed:",
        "is not h11.DONE or is_closed:",
        ANSWERS + "test_answers_do_not_mix_and_cut_answers_are_incomplete",
    ),
    Mutant(
        "answers: a connection that ended rests",
        "gateway/replica_connection.py",
        "is not h11.DONE or trailing or is_closed:",
        "is not h11.DONE or trailing:",
        ANSWERS + "test_connection_closed_with_its_answer_is_not_idle",
    ),
    Mutant(
        "answers: a cut answer counts as ended",
        "gateway/replica_connection.py",
        'raise ReplicaError(f"invalid HTTP answer: {error}", True, "not_http") from error',
        "return h11.EndOfMessage()",
        ANSWERS + "test_answers_do_not_mix_and_cut_answers_are_incomplete",
    ),
    Mutant(
        "answers: a reset that the sender is told counts as an end",
        "gateway/replica_connection.py",
        "        if not data and self._has_sending_failed:",
        "        if False:",
        ANSWERS + "test_reset_reported_to_sender_does_not_complete_answer",
    ),
    Mutant(
        "answers: an answer is skipped with the end that another request tells",
        "gateway/replica_connection.py",
        "            if self._frames_answers:",
        "            if False:",
        ANSWERS + "test_answer_is_not_skipped_if_its_framing_depends_on_request",
    ),
    Mutant(
        "answers: an answer may have two lengths",
        "gateway/replica_connection.py",
        "        if is_chunked and length is not None:",
        "        if False:",
        ANSWERS + "test_answer_with_two_lengths_is_invalid",
    ),
    Mutant(
        "answers: a head may hold a part of another",
        "gateway/replica_connection.py",
        "        if _holds_status_line(event):",
        "        if False:",
        ANSWERS + "test_head_that_starts_inside_another_is_invalid",
    ),
    Mutant(
        "answers: bytes before the first request are an answer to it",
        "gateway/replica_connection.py",
        "        if self._exchange_count == 0 and self._has_bytes():",
        "        if False:",
        ANSWERS + "test_bytes_before_first_request_are_not_its_answer",
    ),
    Mutant(
        "answers: the first of two ids counts",
        "platform/codec.py",
        '            ", ".join(request_ids) if request_ids else None,',
        "            request_ids[0] if request_ids else None,",
        ANSWERS + "test_answer_with_two_ids_or_signatures_is_not_accepted",
    ),
    Mutant(
        "answers: a long answer that was cut goes on at another replica",
        "gateway/answer_relay.py",
        'raise ClientGoneError(f"the answer was cut off: {error}", "answer_cut") from error',
        "raise",
        ANSWERS + "test_cut_long_answer_is_not_continued_by_another_answer",
    ),
    Mutant(
        "answers: events of a run may leave one out",
        "gateway/event_stream.py",
        "        if self.last is not None and event_id != self.last + 1:",
        "        if False:",
        ANSWERS + "test_stream_has_each_event_once_and_completes_only_at_its_end",
    ),
    Mutant(
        "answers: events without ids pass where streams are resumed",
        "gateway/answer_relay.py",
        "        elif event.data and progress.route.is_resumable:",
        "        elif False:",
        ANSWERS + "test_stream_has_each_event_once_and_completes_only_at_its_end",
    ),
    Mutant(
        "answers: a stream may end within an event",
        "gateway/answer_relay.py",
        "        if splitter.rest:\n            raise",
        "        if False:\n            raise",
        ANSWERS + "test_stream_has_each_event_once_and_completes_only_at_its_end",
    ),
    Mutant(
        "answers: an item's run may end within an event",
        "jobs/item_call.py",
        "        if splitter.rest:\n            raise",
        "        if False:\n            raise",
        ANSWERS + "test_item_ends_only_by_complete_runs_of_its_own",
    ),
    Mutant(
        "answers: a failure that was cut ends an item",
        "jobs/item_call.py",
        "            await self._read_failure(connection)\n",
        "",
        ANSWERS + "test_item_fails_only_by_complete_answer",
    ),
    Mutant(
        "answers: bytes that are no text are an item's",
        "jobs/item_call.py",
        "    if REPLACEMENT_CHARACTER in event.data:",
        "    if False:",
        ANSWERS + "test_invalid_utf8_is_not_used_as_item_text",
    ),
    Mutant(
        "serving: return of a fleet: a coordinator follows its earlier process",
        "fleet/leader.py",
        "        if leadership.term <= self.term or self._is_of_earlier_process(leadership):",
        "        if leadership.term <= self.term:",
        RETURN + "test_all_nodes_serve_soon_after_restart_of_all_nodes",
    ),
    Mutant(
        "serving: return of a fleet: who has heard nobody waits as in a fleet that runs",
        "fleet/election.py",
        "        if self._leader.has_never_contacted_leader:",
        "        if False:",
        RETURN + "test_fleet_serves_soon_if_store_refuses_coordinator_and_standbys",
    ),
    Mutant(
        "serving: return of a fleet: nodes that start are sent copies",
        "fleet/state_sender.py",
        "        if report.configuration_version < 0 and self._is_starting(entry, now):",
        "        if False:",
        COORDINATION + "test_starting_node_is_sent_copies_only_if_store_refuses_it",
    ),
    Mutant(
        "serving: return of a fleet: the first list is sent as a change",
        "fleet/state_sender.py",
        "        if not previous:",
        "        if False:",
        COORDINATION + "test_first_replica_list_of_new_coordinator_is_not_broadcast",
    ),
    Mutant(
        "serving: return of a fleet: each answer of the store is told to all",
        "fleet/coordinator.py",
        "            now - self._store_returned_sent_at < MIN_STORE_RETURNED_INTERVAL_S",
        "            False",
        RETURN + "test_store_recovery_broadcasts_are_rate_limited",
    ),
    Mutant(
        "crashes: a node keeps to itself what it has seen",
        "fleet/crash_record_sync.py",
        "        self.merge(report.crash_records, report.node)",
        "        report.crash_records.clear()",
        CASES + "test_crashing_request_reaches_few_replicas_despite_restarts_and_losses",
    ),
    Mutant(
        "crashes: an ended replica is no evidence",
        "gateway/crash_detector.py",
        "        if reachability is Reachability.REFUSES:\n            self._note_crash",
        "        if reachability is None:\n            self._note_crash",
        CRASHING + "test_crashing_request_is_contained_across_nodes",
    ),
    Mutant(
        "crashes: a reset connection is evidence",
        "gateway/crash_detector.py",
        "        if reachability is Reachability.REFUSES:\n            self._note_crash",
        "        if reachability is not Reachability.SILENT:\n            self._note_crash",
        CRASHING + "test_reset_connection_is_no_evidence",
    ),
    Mutant(
        "crashes: a request that was sent to an ended replica is a suspect",
        "gateway/crash_detector.py",
        "or elapsed_s >= DELIVERY_THRESHOLD_S",
        "or elapsed_s >= 0",
        "tests/serving/test_crash_detector.py::test_request_sent_after_replica_ended_is_no_suspect",
    ),
    Mutant(
        "crashes: suspects are sent over kept connections",
        "gateway/replica_connection.py",
        "        if force_new:",
        "        if False:",
        "tests/serving/test_crash_detector.py::test_crash_suspect_gets_new_connection",
    ),
    Mutant(
        "crashes: answers clear nobody",
        "gateway/crash_ledger.py",
        "        return self._clear(key, at)",
        "        return False",
        CASES + "test_popular_request_is_rarely_contained_for_crashes_of_another",
    ),
    Mutant(
        "crashes: sound runs count like others",
        "gateway/crash_ledger.py",
        "            unexplained -= sound & self._explained_by_contents()",
        "            pass",
        CASES + "test_stream_is_not_contained_for_crashes_that_another_content_explains",
    ),
    Mutant(
        "crashes: sound runs explain crashes as well",
        "gateway/crash_ledger.py",
        "            crashed = entry.crashed_in_runs(sound=False) - by_parts",
        "            crashed = entry.crashed.keys() - by_parts",
        CASES + "test_stream_is_contained_for_crashes_that_nothing_else_explains",
    ),
    Mutant(
        "crashes: one sound run of two copies is enough",
        "gateway/crash_ledger.py",
        "known.was_sound and crash.was_sound",
        "known.was_sound or crash.was_sound",
        CASES + "test_crash_counts_as_in_a_sound_run_only_if_it_was_one_for_all_copies",
    ),
    Mutant(
        "store: a full read has the version of the reads after the list of parts",
        "platform/store_client.py",
        "        return RowPage(rows, pages[0].version, pages[-1].now_ms)",
        "        return RowPage(rows, min(page.version for page in pages[1:] or pages), None)",
        "tests/serving/test_table_reads.py::test_full_read_and_the_changes_after_it_have_all_rows",
    ),
    Mutant(
        "server: what a client sends ahead is dropped when memory is used up",
        "gateway/server.py",
        "            self._http.receive_data(data)\n            if not self._has_memory_for(0):",
        "            if self._has_memory_for(0):\n                self._http.receive_data(data)\n"
        "            else:",
        "tests/serving/test_pipelined_requests.py",
    ),
    Mutant(
        "server: an accept without descriptors ends the loop",
        "gateway/listener.py",
        "                if error.errno in EXHAUSTED:",
        "                if error.errno is None:",
        "tests/serving/test_fleet_processes.py::"
        "test_node_serves_again_after_it_has_run_out_of_descriptors",
    ),
    Mutant(
        "server: a node that can't accept connections is ready",
        "serving/node.py",
        "            and not self._clients.listener.is_blocked\n",
        "",
        "tests/serving/test_listener.py::"
        "test_node_is_not_ready_while_it_can_not_accept_connections",
    ),
    Mutant(
        "tasks that start while a kernel ends are left",
        "core/kernel.py",
        "            kernel.run(_cancel_all, kernel)",
        "            pass",
        "tests/unit/test_kernel.py::test_tasks_that_start_while_others_are_cancelled_end_too",
    ),
    Mutant(
        "crashes: a node forgets what it answered before it heard of a case",
        "gateway/crash_ledger.py",
        "if crash.at > answered_at",
        "if True",
        CASES + "test_merge_order_of_crash_records_makes_no_difference",
    ),
    Mutant(
        "crashes: an answer that clears the only case is not told",
        "fleet/crash_record_sync.py",
        "        if not self.ledger.needs_sync:",
        "        if self.ledger.is_empty:",
        CASES + "test_answer_that_clears_the_only_crash_record_is_broadcast",
    ),
    Mutant(
        "crashes: the store's rows are not read",
        "fleet/crash_record_store.py",
        "        records = [self._record_now(content) for content in new]\n",
        "        records: list[CrashRecord] = []\n",
        CRASHING + "test_restarted_fleet_loads_crash_records_from_store",
    ),
    Mutant(
        "crashes: every node grants trials",
        "gateway/crash_ledger.py",
        "        if containment is Containment.TRIAL_DUE and self.grants_trials:",
        "        if containment is Containment.TRIAL_DUE:",
        CASES + "test_trials_run_one_at_a_time_with_growing_pauses",
    ),
    Mutant(
        "crashes: items are sent on",
        "jobs/item_containment.py",
        "        if now < until:\n            return HeldBack(key, until)",
        "        if now < until:\n            return None",
        CRASHING + "test_crashing_item_does_not_delay_other_items",
    ),
    Mutant(
        "soak: items are not run for a minute after crashes by chance",
        "jobs/item_containment.py",
        "        until = crashed_at + CONTAINMENT_S\n        if now",
        "        until = crashed_at + 60.0\n        if now",
        "tests/soak/test_soak_items.py",
    ),
    Mutant(
        "soak: idle items are not reported",
        "soak/check_idle_jobs.py",
        "        if idle and self._is_calm_everywhere(since, at):",
        "        if False:",
        "tests/soak/test_soak_checker.py",
    ),
    Mutant(
        "soak: crashing parts may be sent on",
        "soak/check_crashes.py",
        "        if part.late_runs > MAX_RUNS_AFTER_CONTAINMENT:",
        "        if False:",
        "tests/soak/test_soak_checker.py::"
        "test_requests_with_crashing_part_after_containment_are_reported",
    ),
    Mutant(
        "soak: a crowd may be refused",
        "soak/check_crowds.py",
        "            if self._served + by_full_replicas < MIN_SERVED_SHARE * self._read:",
        "            if False:",
        "tests/soak/test_soak_checker.py::test_refusals_of_read_requests_in_a_crowd_are_reported",
    ),
    Mutant(
        "parts: crashes explained by a blamed part count for its neighbours",
        "gateway/part_blame.py",
        "        explained.update(replicas)",
        "        pass",
        "tests/unit/test_part_blame.py::test_neighbours_of_a_guilty_part_are_not_blamed",
    ),
    Mutant(
        "parts: replicas that crash together count each",
        "gateway/part_blame.py",
        "        if crash.sent_at > last_at:",
        "        if True:",
        "tests/unit/test_part_blame.py::test_replicas_that_crash_together_blame_no_part",
    ),
    Mutant(
        "parts: an answered part needs no more evidence",
        "gateway/part_blame.py",
        "    return ANSWERED_PART if evidence.was_answered else NEW_PART",
        "    return NEW_PART",
        "tests/unit/test_part_blame.py::test_answered_part_needs_more_crashes",
    ),
    Mutant(
        "parts: an answer of any software clears the crashes",
        "gateway/crash_keys.py",
        "    return part_prefix(part_id) + _software_suffix(software)",
        '    return part_prefix(part_id) + "same"',
        "tests/unit/test_part_blame.py::test_answer_at_other_software_clears_no_crashes",
    ),
    Mutant(
        "parts: a node keeps to itself that a part was answered",
        "gateway/crash_ledger.py",
        "        elif is_part_key(key) and self._was_answered(key):",
        "        elif False:",
        "tests/unit/test_part_blame.py::test_nodes_learn_that_a_part_was_answered_before",
    ),
    Mutant(
        "parts: all items with a contained part start as its trial",
        "jobs/item_containment.py",
        "        return HeldBack(key, until, is_behind_trial=True) if now < until else None",
        "        return None",
        "tests/unit/test_item_containment.py",
    ),
    Mutant(
        "parts: items that start together are all trials of a part",
        "jobs/runner.py",
        "services, software) is None:\n                    await self._start(",
        "services, software) is None or True:\n                    await self._start(",
        ITEM_WAITS + "test_items_of_a_contained_part_do_not_start_together",
    ),
    Mutant(
        "items: contained items wait for minutes, as online requests do",
        "jobs/item_containment.py",
        "        until = crashed_at + CONTAINMENT_S\n        if now",
        "        entry = self._ledger._entries[key]\n"
        "        until = entry.trial_due_at(self._ledger._is_certain(key))\n        if now",
        ITEM_WAITS + "test_sound_items_start_soon_after_chance_crashes",
    ),
    Mutant(
        "items: all contained items of an owner start together",
        "jobs/item_containment.py",
        "                self._max_trials, self._paused_until = 1, max(self._paused_until, until)",
        "                self._max_trials, self._paused_until = MAX_TRIALS, until",
        "tests/unit/test_item_containment.py",
    ),
    Mutant(
        "items: a sound trial counts for all software versions",
        "jobs/item_containment.py",
        'self._sound_at.get(key, {}).get(software, float("-inf"))',
        "max(self._sound_at.get(key, {}).values(), default=0.0)",
        "tests/unit/test_item_containment.py",
    ),
    Mutant(
        "items: tried one by one until a trial was sound at each software version",
        "jobs/item_containment.py",
        "        if software is None:\n            return False",
        "        versions = self._directory.usable_versions(software.service) if software else ()\n"
        "        if software is None or len(self._sound_at.get(key, {})) < len(versions):\n"
        "            return False",
        ITEM_WAITS + "test_items_start_at_the_version_with_room_after_a_sound_trial_there",
    ),
    Mutant(
        "items: a job waits for all trials of other jobs",
        "jobs/item_containment.py",
        "return self._idle_job_held_back(first, job, keys) if self._is_idle(job) else first",
        "return first",
        ITEM_WAITS + "test_each_job_of_an_owner_runs_an_item_within_bound_although_trials_are_slow",
    ),
    Mutant(
        "items: a job is idle before the crash of its trial is known",
        "jobs/item_containment.py",
        " and self._clock() >= failed_at + CRASH_REPORT_S",
        "",
        "tests/unit/test_item_containment.py",
    ),
    Mutant(
        "items: a job does not wait after its own trial has crashed a replica",
        "jobs/item_containment.py",
        "                self._crashed_at[trial.job_id] = crashed_at\n",
        "",
        "tests/unit/test_item_containment.py",
    ),
    Mutant(
        "items: a trial holds others back until its end",
        "jobs/item_containment.py",
        "            return self.started_at + TRIAL_TIMEOUT_S",
        '            return float("inf")',
        "tests/unit/test_item_containment.py",
    ),
    Mutant(
        "connections: all are read, however late the loop is",
        "gateway/connection_admission.py",
        "        if self._debt < 1.0:",
        "        if True:",
        "tests/unit/test_connection_admission.py",
    ),
    Mutant(
        "connections: some are closed where no peer has room",
        "gateway/connection_admission.py",
        "        share = self.closed_share(now) if has_peer_with_room else 0.0",
        "        share = self.closed_share(now)",
        "tests/unit/test_connection_admission.py::test_nothing_is_closed_while_no_peer_has_room",
    ),
    Mutant(
        "parts: requests are known by their whole content only",
        "gateway/crash_keys.py",
        "    return tuple(dict.fromkeys(part_ids[:MAX_PARTS]))",
        "    return ()",
        PARTS_CRASH + "test_requests_that_share_a_crashing_part_reach_few_replicas",
    ),
    Mutant(
        "parts: an answer that ended with its connection counts as whole",
        "gateway/crash_detector.py",
        "        if not ends_with_connection:\n",
        "        if True:\n",
        PARTS_CRASH + "test_crashed_answers_that_look_whole_clear_no_part",
    ),
    Mutant(
        "refusals: a reset after the request counts as not run",
        "gateway/progress.py",
        "        replica_ids = self.tried if self.is_sent else self.refused",
        '        replica_ids = self.tried if self.is_sent and code != "reset" else self.refused',
        REFUSALS + "test_reset_after_request_gives_no_not_run_status",
    ),
    Mutant(
        "clock: the node's time stands still while its machine is suspended",
        "core/clock.py",
        "    return time.clock_gettime(time.CLOCK_BOOTTIME)",
        "    return time.monotonic()",
        "tests/unit/test_clock.py::test_monotonic_time_includes_machine_suspension",
    ),
    Mutant(
        "soak: a request that replicas broke off is called not run",
        "core/error_response.py",
        "str(error), work.state, error.retry_after_s)",
        "str(error), WorkState.NOT_BEGUN, error.retry_after_s)",
        SOAK,
    ),
    Mutant(
        "entries: one that can't be read leaves the one before it in use",
        "serving/fleet_state.py",
        "            elif self.directory.remove(row.row_key.key, row.version):",
        "            elif not row.value and self.directory.remove(row.row_key.key, row.version):",
        ENTRIES + "test_changes_and_a_full_read_give_the_same_replicas",
    ),
    Mutant(
        "entries: a state that is not known counts as leaving",
        "platform/documents.py",
        "    if wire.state not in IS_DRAINING_BY_STATE:",
        "    if not wire.state:",
        ENTRIES + "test_an_invalid_entry_removes_its_replica",
        (("platform/documents.py", "IS_DRAINING_BY_STATE[wire.state]", 'wire.state != "ready"'),),
    ),
    Mutant(
        "restarts: exchanges at the start before are left to silence",
        "gateway/restarts.py",
        "self._pool.abort_exchanges(address, restart.opened_before, now - QUIET_TIME_S)",
        "0",
        RESTARTED + "test_request_that_is_not_retryable_fails_at_once_after_restart",
        (("gateway/restarts.py", "            self._pending.append(restart)", "            pass"),),
    ),
    Mutant(
        "restarts: what may be at the new start is broken off too",
        "gateway/restarts.py",
        "_Restart(address, opened_before, now)",
        "_Restart(address, now, now)",
        RESTARTED + "test_exchange_opened_after_list_was_confirmed_is_not_aborted",
    ),
    Mutant(
        "restarts: an address that refused tells nothing",
        "gateway/restarts.py",
        "min(self._directory.confirmed_at, self._pool.pop_refused_at(address))",
        "self._directory.confirmed_at",
        RESTARTED + "test_exchange_opened_after_refusal_is_not_aborted",
    ),
    Mutant(
        "restarts: kept connections to the start before are used",
        "gateway/restarts.py",
        "self._pool.discard_idle(address)",
        "0",
        RESTARTED + "test_idle_connections_to_previous_incarnation_are_not_reused",
    ),
    Mutant(
        "restarts: late news brings the earlier start back",
        "gateway/replicas.py",
        "        if self._is_late(replica):",
        "        if False:",
        RESTARTED + "test_late_entry_does_not_restore_earlier_incarnation",
    ),
    Mutant(
        "restarts: items go back to a prompt that is gone",
        "jobs/runner.py",
        "last_replica and last_replica.may_be_incarnation(item_run.replica_started_ms)",
        "last_replica",
        RESTARTED + "test_items_resume_and_drop_cached_prompt_after_restart",
    ),
    Mutant(
        "restarts: two starts of a replica count once against a request",
        "gateway/crash_detector.py",
        "        incarnation, software = replica.incarnation_id, software_of(replica)",
        "        incarnation, software = replica.replica_id, software_of(replica)",
        RESTARTED + "test_each_incarnation_counts_separately",
    ),
    Mutant(
        "soak: items are given up soon after their hand-in",
        "jobs/evidence.py",
        "time.earliest_ms <= give_up_ms:",
        "time.earliest_ms <= record.accepted_ms + 2000:",
        SOAK,
    ),
    Mutant(
        "soak: any request is repeated",
        "gateway/configuration.py",
        "        return self.kind is RouteKind.SAFE or self.is_resumable",
        "        return True",
        SOAK,
    ),
    Mutant(
        "interface: a field of the configuration has another name on the wire",
        "platform/documents.py",
        "    gap_aim_ms: float = 1_000.0",
        "    gap_ms: float = 1_000.0",
        NAMES,
        (("platform/documents.py", "wire.gap_aim_ms", "wire.gap_ms"),),
    ),
    Mutant(
        "configuration: the feed has the long poll timeout of other tables",
        "fleet/follower.py",
        "CONFIGURATION_LONG_POLL_TIMEOUT_S = 0.8",
        "CONFIGURATION_LONG_POLL_TIMEOUT_S = 2.5",
        SPREAD + "test_configuration_change_is_in_force_in_time_after_unanswered_call",
    ),
    Mutant(
        "configuration: a newer version is not requested from the node that reports it",
        "fleet/state_sender.py",
        "        if version <= self._configuration.version:",
        "        if version >= 0:",
        SPREAD + "test_configuration_reaches_refused_nodes_while_coordinator_is_refused",
    ),
    Mutant(
        "configuration: a lost request for a newer version is not repeated",
        "fleet/state_sender.py",
        "CONFIGURATION_REQUEST_INTERVAL_S = 0.2",
        "CONFIGURATION_REQUEST_INTERVAL_S = 3600.0",
        SPREAD + "test_lost_request_or_copy_of_configuration_is_repeated",
    ),
    Mutant(
        "configuration: the configuration age in orders is ignored",
        "fleet/coordinator_client.py",
        "self._made_at(orders, now) - orders.configuration_age_ms / 1000",
        "self._made_at(orders, now)",
        SPREAD + "test_age_of_configuration_is_known_from_store_and_from_coordinator",
    ),
    Mutant(
        "configuration: a version too long for one datagram is not sent in parts",
        "fleet/configuration_copy.py",
        "        if not self._is_sent_in_parts:",
        "        if self._encoded_configuration is current:",
        SPREAD + "test_long_configuration_reaches_nodes_that_the_store_refuses",
    ),
    Mutant(
        "configuration: unknown routes get 404 under an unconfirmed version",
        "serving/request_handler.py",
        "        if age_s <= self._configuration_apply_s:",
        "        if age_s >= 0:",
        OUTDATED + "test_unknown_route_gets_404_only_if_configuration_is_confirmed",
    ),
    Mutant(
        "configuration: an invalid stored version confirms the current one",
        "serving/fleet_state.py",
        "            self._is_stored_configuration_invalid = True",
        "            self._is_stored_configuration_invalid = False",
        OUTDATED + "test_invalid_stored_configuration_does_not_confirm_current_version",
    ),
    Mutant(
        "configuration: a cached quota refusal applies after the quota has changed",
        "tenants/quota_refusals.py",
        "        if refusal is None or refusal.quota != self._quota(tenant):",
        "        if refusal is None:",
        OUTDATED + "test_raised_quota_ends_cached_refusals",
    ),
    Mutant(
        "configuration: a full read older than an earlier answer is applied",
        "fleet/follower.py",
        "            if page.version < self._newest_version:",
        "            if page.version < 0:",
        "tests/serving/test_follower.py::test_full_read_older_than_an_earlier_answer_is_read_again",
    ),
    Mutant(
        "zone drains: replicas of drained zones are used",
        "gateway/replicas.py",
        "replica is None or self.is_zone_drained(replica.zone) else replica",
        "replica is None else replica",
        DRAINS + "test_two_zones_are_drained_at_once_also_that_of_the_coordinator",
    ),
    Mutant(
        "zone drains: a request is sent though its zone was drained while it connected",
        "gateway/resumption_gate.py",
        "        current = self._find(progress, replica.replica_id)",
        "        current = replica",
        DRAINS + "test_the_last_check_before_sending_stops_requests",
    ),
    Mutant(
        "zone drains: a granted item is sent though its zone was drained while it connected",
        "jobs/item_call.py",
        "            if self.directory.find(replica.replica_id) is None:",
        "            if False:",
        DRAINS + "test_items_that_were_granted_but_not_sent_stay_unsent",
    ),
    Mutant(
        "zone drains: an older state replaces a newer one",
        "gateway/zone_drains.py",
        "        if version < self.version:",
        "        if False:",
        DRAINS + "test_the_newest_state_wins_in_any_order_of_reads_and_copies",
    ),
    Mutant(
        "zone drains: a full read keeps drains whose rows are gone",
        "serving/stored_zone_drains.py",
        "        self._zones = set()\n\n    def apply",
        "        pass\n\n    def apply",
        DRAINS + "test_a_full_read_lifts_the_drains_whose_rows_are_gone",
    ),
    Mutant(
        "zone drains: the coordinator doesn't send a change to all nodes at once",
        "fleet/coordinator.py",
        "        if self._pushed_drained_zones != self._zone_drains.zones:",
        "        if False:",
        DRAINS
        + "test_the_coordinator_sends_a_drain_to_all_nodes_in_the_tick_after_it_learned_of_it",
    ),
    Mutant(
        "zone drains: queued requests of a drained service keep waiting",
        "scheduling/online.py",
        "            self._refuse_without_replica(now)",
        "            pass",
        DRAINS + "test_queued_requests_are_refused_though_others_wait_before_them",
    ),
    Mutant(
        "configuration: the shortest matching prefix is found",
        "gateway/route_index.py",
        "        for length in reversed(self._lengths):",
        "        for length in self._lengths:",
        "tests/unit/test_route_index.py::test_index_finds_the_same_routes_as_a_walk",
    ),
    Mutant(
        "configuration: wait limits use outdated service times",
        "scheduling/wait_limits.py",
        "        while measured and not measured[0].is_current(self._times):",
        "        while False:",
        "tests/unit/test_route_index.py::"
        "test_wait_limits_follow_times_and_configurations_as_a_walk",
    ),
    Mutant(
        "configuration: prepared wait limits miss changed service times",
        "scheduling/wait_limits.py",
        "        for table in (self._current, self._prepared):",
        "        for table in (self._current,):",
        "tests/unit/test_route_index.py::"
        "test_limits_prepared_for_the_next_version_are_those_of_a_walk",
    ),
    Mutant(
        "configuration: decoding a long version blocks other tasks",
        "gateway/steps.py",
        "        await curio.sleep(0)",
        "        pass",
        "tests/serving/test_configuration_swap.py::test_other_tasks_run_while_a_long_version_is_taken",
    ),
    Mutant(
        "configuration: a long read that makes progress is restarted",
        "http/client.py",
        "            deadline = max(deadline, await curio.clock() + idle_timeout_s)",
        "            deadline = min(deadline, last_deadline)",
        "tests/serving/test_slow_reads.py::"
        "test_read_that_makes_progress_is_not_ended_by_the_limit_of_a_call",
    ),
    Mutant(
        "warm-up: a new coordinator grants while the previous lease may hold",
        "fleet/role_lease.py",
        "            self._grants_from = now + TAKEOVER_WAIT_S",
        "            self._grants_from = now",
        WARMUP_LIMIT + "test_takeover_while_the_old_lease_holds_keeps_the_limit",
    ),
    Mutant(
        "warm-up: the limit does not count the life of tokens",
        "core/warmup_limit.py",
        "WINDOW_S = CLOCK_MARGIN * (1.0 + TOKEN_TTL_S)",
        "WINDOW_S = CLOCK_MARGIN",
        WARMUP_LIMIT + "test_second_after_a_held_burst_has_at_most_the_limit",
    ),
    Mutant(
        "warm-up: a lease lasts though the store does not confirm it",
        "fleet/role_lease.py",
        "        return self._is_holder and self._grants_from <= now < self._held_until",
        "        return self._is_holder and self._grants_from <= now",
        WARMUP_FLEET + "test_coordinator_cut_off_from_the_store_stops_granting",
    ),
    Mutant(
        "warm-up: the age of a token counts from when its orders were sent",
        "fleet/orders_maker.py",
        "now if granted_at is None else min(granted_at, now)",
        "now",
        WARMUP_FLEET + "test_token_granted_before_a_pause_of_the_coordinator_is_too_old",
    ),
    Mutant(
        "warm-up: a changed warm-up time alone is not sent to the nodes",
        "fleet/state_sender.py",
        "            and not self._has_new_warmups()\n",
        "",
        WARMUP_FLEET + "test_change_of_the_warmup_time_alone_reaches_all_nodes",
    ),
    Mutant(
        "versions: a resumption is placed at any replica",
        "scheduling/replica_view.py",
        "            return self._resumptions.replicas(request)\n",
        "            return self._directory.usable(request.service)\n",
        STREAMS + "test_coordinator_places_resumption_at_the_streams_version_only",
    ),
    Mutant(
        "versions: an unknown stream is placed at any replica",
        "gateway/software_versions.py",
        "        if self._known_since is None or now - self._known_since < lifetime_s:\n"
        "            return None\n",
        "",
        VERSIONS + "test_knowledge_of_another_node_extends_and_restricts_what_is_known",
    ),
    Mutant(
        "versions: a version that has just gone does not count",
        "gateway/software_versions.py",
        "            if software.service == service and now - unlisted_at < lifetime_s",
        "            if False",
        VERSIONS + "test_single_version_is_known_only_after_a_stream_lifetime",
    ),
    Mutant(
        "versions: records are not sent to other nodes",
        "gateway/resumption_gate.py",
        "        self._sharing.share(record)\n",
        "",
        SOFTWARE + "test_stream_resumed_at_another_node_stays_at_its_software_version",
    ),
    Mutant(
        "versions: the record of a stream takes the later of two versions",
        "gateway/stream_versions.py",
        '            kept.software = Software(kept.software.service, "")',
        "            kept.software = record.software",
        VERSIONS + "test_record_never_changes_to_another_version",
    ),
    Mutant(
        "versions: the coordinator does not pass queries on",
        "fleet/stream_version_sync.py",
        "        if unknown and not query.reply_to:",
        "        if False:",
        STREAMS + "test_record_that_reached_no_keeper_is_found_at_the_streams_node",
    ),
    Mutant(
        "versions: records of streams from before a second version are not stored",
        "fleet/stream_version_sync.py",
        "        versions.on_second_version = self.share_service\n",
        "",
        STREAMS + "test_records_are_stored_only_while_several_versions_serve",
    ),
    Mutant(
        "versions: records are sent only while several versions serve",
        "fleet/stream_version_sync.py",
        "        self._share([record])\n",
        "        if self._versions.single(record.software.service, 60.0) is None:\n"
        "            self._share([record])\n",
        STREAMS + "test_record_made_before_a_second_version_joins_is_known_without_its_node",
    ),
    Mutant(
        "versions: records are not sent again after a cut",
        "fleet/coordinator_client.py",
        "            self.on_reconnected()\n",
        "            pass\n",
        STREAMS + "test_records_are_sent_again_after_a_node_was_cut_off",
    ),
    Mutant(
        "versions: a node's own list proves that a service has one version",
        "gateway/resumption_gate.py",
        "        return await self._register.only_software(services[0])",
        "        listed = {software_of(entry) for entry in self._directory.usable(services[0])}\n"
        "        return listed.pop() if len(listed) == 1 else None",
        RELEASES + "test_node_out_of_step_joins_no_stream_from_two_versions",
    ),
    Mutant(
        "versions: a stream begins at a version that is not registered",
        "scheduling/resumptions.py",
        "        if not missing or not self._is_resumable(request):",
        "        if True:",
        RELEASES + "test_stream_begins_at_a_version_once_it_is_registered",
        (
            (
                "gateway/resumption_gate.py",
                "        return self._registered.has(software_of(replica))",
                "        return True",
            ),
        ),
    ),
    Mutant(
        "versions: the versions that the store listed before a resumption came prove its version",
        "fleet/version_registry.py",
        "            row = await self._read()\n        if row is None:\n            return None\n",
        "            row = self._row or await self._read()\n"
        "        if row is None:\n            return None\n",
        RELEASES + "test_node_out_of_step_joins_no_stream_from_two_versions",
    ),
    Mutant(
        "versions: a version that has gone can't have begun a stream",
        "fleet/version_registry.py",
        "if software.service in (service, _ANY.service) and age_s < RETENTION_S",
        "if software.service in (service, _ANY.service) and age_s <= 0",
        RELEASES + "test_node_out_of_step_joins_no_stream_from_two_versions",
    ),
    Mutant(
        "versions: a new coordinator gets no records",
        "fleet/stream_version_sync.py",
        "        self._share(self._streams.local_records())\n",
        "        pass\n",
        STREAMS + "test_records_reach_a_new_coordinator_shortly_after_a_version_has_gone",
    ),
    Mutant(
        "versions: a coordinator does not read the stored records of streams",
        "fleet/stream_version_store.py",
        "            self._sync.add_stored(stored.records, elapsed_ms)",
        "            pass",
        "tests/serving/test_rejoined_streams.py::"
        "test_streams_of_killed_fleet_go_on_at_their_version",
    ),
    Mutant(
        "versions: records whose write failed are not stored again",
        "fleet/stream_version_store.py",
        "            self._sync.return_unsaved(records)",
        "            pass",
        "tests/serving/test_stream_version_store.py",
    ),
    Mutant(
        "versions: expired records of streams are never removed",
        "fleet/stream_version_store.py",
        "if row.content.expires_ms < now_ms]",
        "if False]",
        "tests/serving/test_stream_version_store.py",
    ),
    Mutant(
        "versions: a draining replica takes no resumption",
        "gateway/draining_replicas.py",
        "        return self._clock() - since < self._resumption_s",
        "        return False",
        SOFTWARE + "test_stream_goes_on_at_replica_that_has_just_begun_to_drain",
    ),
    Mutant(
        "versions: a resumption may be told to retry later",
        "scheduling/online.py",
        "        may_retry_later = not is_retry and not request.is_resumption",
        "        may_retry_later = not is_retry",
        SCHEDULER + "test_resumption_waits_for_a_replica_of_its_version_under_overload",
    ),
    Mutant(
        "versions: a queued resumption blocks others",
        "scheduling/queued_requests.py",
        "        return not self.waits_for_memory and not self.request.is_resumption",
        "        return not self.waits_for_memory",
        SCHEDULER + "test_queued_resumption_does_not_block_other_requests",
    ),
    Mutant(
        "versions: items with output get any slot",
        "scheduling/batch.py",
        "        if not group.software_version:",
        "        if True:",
        SCHEDULER + "test_items_with_output_get_slots_of_their_version_only",
    ),
    Mutant(
        "versions: an item goes on at any version",
        "jobs/run.py",
        "(self.software.is_known and self.software == software)",
        "True",
        SOFTWARE + "test_output_of_item_is_of_one_software_version",
    ),
    Mutant(
        "versions: output after a restart is saved in the same series",
        "jobs/records.py",
        "    return restarts * RESTART_STRIDE + epoch",
        "    return epoch",
        VERSIONS + "test_outputs_before_and_after_a_restart_are_never_joined",
    ),
    Mutant(
        "versions: a restart under the same id leaves records as they are",
        "gateway/stream_versions.py",
        "            and record.software != software\n",
        "            and False\n",
        STREAMS + "test_record_that_became_unknown_is_unknown_at_all_keepers",
    ),
    Mutant(
        "builds: fields of a message are swapped",
        "fleet/messages.py",
        "    online: int = 0\n    batch: int = 0\n    tokens",
        "    batch: int = 0\n    online: int = 0\n    tokens",
        SAMPLES + "test_samples_of_earlier_builds_mean_the_same",
    ),
    Mutant(
        "builds: the fingerprint of the replica list contains warm-up times",
        "gateway/replicas.py",
        "    *fields, _warmup_ms, _software_version = msgspec.structs.astuple(",
        "    *fields, _software_version = msgspec.structs.astuple(",
        SAMPLES + "test_fingerprint_does_not_depend_on_warmups",
    ),
    Mutant(
        "builds: an incomplete copy from an earlier build isn't replaced",
        "gateway/configuration.py",
        "        if configuration.format <= current.format:",
        "        if configuration.format >= current.format:",
        "tests/builds/test_configuration_reach.py"
        "::test_copy_of_earlier_build_is_replaced_by_the_complete_version",
    ),
    Mutant(
        "builds: all nodes of a soak run the same source",
        "soak/processes.py",
        "        if self.source is not None:",
        "        if self.source is None:",
        "tests/soak/test_soak_builds.py::test_nodes_run_the_source_of_their_build",
    ),
    Mutant(
        "builds: refused messages are not counted",
        "fleet/transport.py",
        "            self.on_refused(kind)\n",
        "",
        "tests/builds/test_refused_messages.py"
        "::test_refused_messages_are_dropped_logged_and_counted",
    ),
    Mutant(
        "sources: a status confirms at the time of its arrival",
        "fleet/configuration_subscription.py",
        "        confirmed_at = sent_at - max(0, status.age_ms) / 1000",
        "        confirmed_at = now",
        SOURCES + "test_held_up_messages_confirm_no_version_after_its_successor",
    ),
    Mutant(
        "sources: a source that doesn't answer is kept",
        "fleet/configuration_subscription.py",
        "        if len(self._unanswered) >= 2:",
        "        if len(self._unanswered) >= 200:",
        SOURCES + "test_lost_source_is_replaced_without_a_second_full_read",
    ),
    Mutant(
        "sources: missing parts are not requested again",
        "fleet/configuration_subscription.py",
        "if transfer is None or now - transfer.progress_at < PART_TIMEOUT_S:",
        "if True:",
        SOURCES + "test_version_arrives_in_spite_of_faulty_parts",
    ),
    Mutant(
        "sources: a reader whose calls fail doesn't report it",
        "fleet/configuration_subscription.py",
        "            return self._identity.node, LOST_READER_AGE_MS if is_failing else 0",
        "            return self._identity.node, 0",
        SOURCES + "test_reader_that_the_store_refuses_tells_its_pollers_to_leave",
    ),
    Mutant(
        "warm-up: an outage of the store explains a removal before it",
        "gateway/warmups.py",
        "is_same and removal.removed_at > gap.began_at",
        "is_same",
        "tests/unit/test_warmups.py::"
        "test_return_counts_as_restart_unless_the_outage_explains_it[removed before]",
    ),
    Mutant(
        "warm-up: entries that expired in an outage of the store count as restarts",
        "gateway/warmups.py",
        " and not self._expired_in_outage(replica, removal, now)",
        "",
        "tests/unit/test_warmups.py::"
        "test_entry_that_expired_while_the_store_was_down_is_no_restart",
    ),
    Mutant(
        "records: an end takes its content from an earlier read",
        "jobs/service.py",
        "            write = change_job(stored, is_ended=True)\n",
        "            cached = self._view.find(job_id)\n"
        "            newer = stored if cached is None else cached\n"
        "            write = change_job(newer.amend(stored.content), is_ended=True)\n",
        RECORDS + "test_end_at_another_node_keeps_results_that_were_listed_meanwhile",
        (
            (
                "jobs/reader.py",
                "                return await self._view.put_row(row)\n",
                "                from cloverwalk.jobs.records import job_from_row\n\n"
                "                await self._view.put_row(row)\n"
                "                return job_from_row(row)\n",
            ),
        ),
    ),
    Mutant(
        "records: a takeover goes on from what it meant to write",
        "jobs/takeover.py",
        "        return stored if is_owner and current.is_open else None",
        "        return stored.amend(meant) if is_owner else None",
        RECORDS + "test_end_survives_takeover_whose_answer_was_lost",
        (
            (
                "jobs/takeover.py",
                "    if payload.is_ended and not record.is_ended:",
                "    if False:",
            ),
        ),
    ),
    Mutant(
        "records: a sweep removes rows whatever the record says",
        "jobs/sweeper.py",
        "transaction(unchanged=[stored], removals=keys)",
        "transaction(removals=keys)",
        RECORDS + "test_sweep_keeps_rows_of_a_later_job_with_the_same_id",
    ),
    Mutant(
        "records: a submission replaces the record that is there",
        "jobs/intake.py",
        "transaction(job_write, *quota_writes, puts=payload), deadline, refuse_at",
        "transaction(\n"
        "                    *quota_writes,\n"
        "                    puts=[Put(job_write.row_key, encode(record)), *payload],\n"
        "                ), deadline, refuse_at",
        "tests/exploration/test_exploration.py::test_random_orders_break_no_promise",
        (("jobs/intake.py", "    decode_quota,\n", "    decode_quota,\n    encode,\n"),),
    ),
    Mutant(
        "records: a cached record loses its progress",
        "jobs/view.py",
        "amended = stored if cached is None else with_progress_of(stored, cached)",
        "amended = stored",
        RECORDS + "test_end_stays_when_an_earlier_build_writes_an_open_record",
    ),
    Mutant(
        "records: an owner takes over fewer results",
        "jobs/lister.py",
        "        stored = with_progress_of(newest, job.stored)\n",
        "        stored = job_from_row(row)\n",
        RECORDS + "test_results_stay_when_an_earlier_build_writes_a_record_without_them",
    ),
    Mutant(
        "records: a takeover counts results by the record only",
        "jobs/takeover.py",
        "    if len(listed_ids) > record.listed:",
        "    if len(listed_ids) > len(payload.items):",
        RECORDS + "test_takeover_keeps_results_that_the_record_lacks",
    ),
    Mutant(
        "records: the end is not marked beside the record",
        "jobs/service.py",
        "transaction(write, puts=[end_mark_put(job_id)])",
        "transaction(write)",
        RECORDS + "test_end_stays_when_an_earlier_build_writes_an_open_record",
    ),
    Mutant(
        "records: a later job gets the progress of an earlier one",
        "jobs/records.py",
        "    if record.accepted_ms != known.accepted_ms:",
        "    if record.job_id != known.job_id:",
        RECORDS + "test_a_later_job_with_the_same_id_gets_no_progress_of_the_earlier_one",
    ),
    Mutant(
        "crashes: a row is written whatever its version",
        "fleet/crash_record_store.py",
        "            transaction(*writes, unchanged=removed, "
        "removals=[row.row_key for row in removed]),\n            CALL_TIMEOUT_S,",
        "            msgspec.structs.replace(\n"
        "                transaction(*writes, removals=[row.row_key for row in removed]), "
        "expectations=[]\n            ),\n            CALL_TIMEOUT_S,",
        CASES + "test_late_write_of_a_crash_record_does_not_replace_a_newer_one",
    ),
    Mutant(
        "stop: requests are accepted whatever their deadline",
        "gateway/stop_admission.py",
        "        return self._clock() < self._began_at + ROUTING_DELAY_S and self.can_finish(work)",
        "        return self.remaining_s > 0.5 * (self.ends_at - self._began_at)",
        STOP + "test_nothing_that_a_stopping_node_accepts_is_cut",
    ),
    Mutant(
        "stop: learnt durations are ignored",
        "gateway/stop_admission.py",
        "        if sum(window.samples for window in recent) < MIN_SAMPLES:",
        "        if recent or not recent:",
        STOP + "test_short_requests_are_served_until_the_routing_has_noticed_the_stop",
    ),
    Mutant(
        "stop: waiting requests stay without an answer",
        "serving/node.py",
        "            await self._relay.refuse_unfinishable()\n",
        "",
        STOP + "test_waiting_requests_are_refused_once_they_can_not_end_in_time",
        (("serving/node.py", "        await self._clients.end_unanswered()\n", ""),),
    ),
    Mutant(
        "stop: an answer does not announce the close",
        "gateway/server.py",
        "            self._reply.close_after()",
        "            pass",
        STOP + "test_answers_that_begin_during_a_stop_announce_the_close",
    ),
    Mutant(
        "stop: new connections count as idle",
        "gateway/server.py",
        "        if self.is_serving or not self.is_idle or self.awaits_first_request:",
        "        if self.is_serving or not self.is_idle:",
        STOP + "test_a_new_connection_is_not_closed_before_its_first_request",
    ),
    Mutant(
        "stop: calls on jobs wait beyond the end of the node",
        "serving/request_handler.py",
        "            if self._stop_admission.remaining_s < MIN_JOB_CALL_S:",
        "            if False:",
        STOP + "test_calls_on_jobs_are_answered_truthfully_until_the_node_ends",
        (
            (
                "serving/request_handler.py",
                "                wait_s = min(wait_s, "
                "self._stop_admission.remaining_s - MIN_JOB_CALL_S)\n",
                "",
            ),
            ("serving/node.py", "        await self._clients.end_unanswered()\n", ""),
        ),
    ),
    Mutant(
        "stop: a job that a stopping node accepts names it as the owner",
        "jobs/intake.py",
        '            owner="" if self.is_leaving else self._owner,',
        "            owner=self._owner,",
        STOP + "test_a_job_accepted_during_a_stop_is_started_by_another_node_at_once",
        (("serving/batch_parts.py", "        elif job.record.owner:", "        elif False:"),),
    ),
    Mutant(
        "soak: an end takes its content from an earlier read",
        "jobs/service.py",
        "            write = change_job(stored, is_ended=True)\n",
        "            cached = self._view.find(job_id)\n"
        "            newer = stored if cached is None else cached\n"
        "            write = change_job(newer.amend(stored.content), is_ended=True)\n",
        SOAK_ENDS,
        (
            (
                "jobs/reader.py",
                "                return await self._view.put_row(row)\n",
                "                from cloverwalk.jobs.records import job_from_row\n\n"
                "                await self._view.put_row(row)\n"
                "                return job_from_row(row)\n",
            ),
            *WITHOUT_REPAIRS,
        ),
    ),
    Mutant(
        "soak: a takeover goes on from what it meant to write",
        "jobs/takeover.py",
        "        return stored if is_owner and current.is_open else None",
        "        return stored.amend(meant) if is_owner else None",
        SOAK_ENDS,
        WITHOUT_REPAIRS,
    ),
    Mutant(
        "soak: a stopping node accepts requests for a fixed time",
        "gateway/stop_admission.py",
        "        return self._clock() < self._began_at + ROUTING_DELAY_S and self.can_finish(work)",
        "        return self._clock() < self._began_at + 4.5",
        SOAK_ENDS,
    ),
    Mutant(
        "soak: a node's own list is proof of the only version",
        "gateway/resumption_gate.py",
        "        return await self._register.only_software(services[0])\n",
        "        usable = self._directory.usable(services[0])\n"
        "        listed = {software_of(replica) for replica in usable}\n"
        "        return listed.pop() if len(listed) == 1 else None\n",
        SOAK_TAKE_UPS + "[OverlapWay.NODES_AND_STORE-2]",
    ),
    Mutant(
        "soak: streams begin at versions that are not registered",
        "gateway/registered_versions.py",
        "        return software in self._registered\n",
        "        return True\n",
        SOAK_TAKE_UPS + "[OverlapWay.NODES_THAT_COULD_NOT_WRITE-1]",
    ),
    Mutant(
        "crashes: own rows are merged when they are read again",
        "fleet/crash_record_store.py",
        "content != self._own.get(content.record.content_hash)",
        "content is not None",
        CASES + "test_rows_that_are_read_again_do_not_undo_an_answer",
    ),
    Mutant(
        "odd: deep nesting is no invalid message",
        "core/decoding.py",
        "ValueError, OverflowError, RecursionError)",
        "ValueError, OverflowError)",
        "tests/unit/test_odd_input.py",
    ),
    Mutant(
        "odd: numbers of messages are not bounded",
        "fleet/messages.py",
        "            return decode_bounded(_decoder, payloads[0])",
        "            return decode_content(_decoder, payloads[0])",
        "tests/unit/test_odd_input.py",
    ),
    Mutant(
        "odd: texts of rows are not bounded",
        "store/row_decoder.py",
        "            check_bounds(content, MAX_TEXT_CHARACTERS)\n",
        "",
        "tests/unit/test_odd_input.py",
    ),
    Mutant(
        "odd: an invalid row is logged at each read",
        "store/row_decoder.py",
        "        if self._versions.get(row.row_key) == row.version:\n            return\n",
        "",
        "tests/unit/test_odd_input.py",
    ),
    Mutant(
        "odd: an invalid record of a job fails the whole table",
        "jobs/view.py",
        "contextlib.suppress(InvalidRecordError)",
        "contextlib.suppress(KeyError)",
        "tests/unit/test_odd_input.py",
    ),
    Mutant(
        "odd: an error of a message's handler ends the receiver",
        "fleet/transport.py",
        "except (ArithmeticError, LookupError, TypeError, ValueError) as error:",
        "except LookupError as error:",
        "tests/unit/test_odd_input.py",
    ),
    Mutant(
        "odd: names of a replica's entry are not bounded",
        "gateway/replicas.py",
        "    if len(name.encode()) > MAX_NAME_BYTES:",
        "    if False:",
        "tests/serving/test_replica_entries.py",
    ),
    Mutant(
        "bytes: records are not split into several messages",
        "fleet/datagrams.py",
        "field = MERGED_LISTS.get(type(message))",
        "field = None",
        "tests/unit/test_datagrams.py",
    ),
    Mutant(
        "bytes: a report that is too long is not shortened",
        "fleet/datagrams.py",
        "LEFT_OUT_FIRST.get(type(message), ())",
        "()",
        "tests/unit/test_datagrams.py",
    ),
    Mutant(
        "bytes: changes of the replica list are not split",
        "fleet/state_sender.py",
        "    if len(changed) + len(removed) <= 1:",
        "    if True:",
        "tests/unit/test_datagrams.py",
    ),
    Mutant(
        "bytes: a copy of the replica list is split by number only",
        "fleet/state_sender.py",
        "split_by_bytes(replicas, MAX_REPLICA_BYTES, MAX_REPLICAS_PER_COPY)",
        "split_by_bytes(replicas, 10**9, MAX_REPLICAS_PER_COPY)",
        "tests/unit/test_datagrams.py",
    ),
    Mutant(
        "bytes: a row of streams' records is split by number only",
        "fleet/stream_version_store.py",
        "split_by_bytes(valid, MAX_RECORD_BYTES)",
        "split_by_bytes(valid, 10**9)",
        "tests/serving/test_stream_version_store.py",
    ),
    Mutant(
        "bytes: saved output is bounded by characters",
        "jobs/run.py",
        "            size += encoded_bytes(item_run.texts[end])",
        "            size += len(item_run.texts[end])",
        "tests/serving/test_jobs.py",
    ),
    Mutant(
        "answers: a cut answer looks whole in HTTP/1.0",
        "gateway/reply.py",
        "            self._reset_at_close(True)",
        "            pass",
        "tests/serving/test_cut_answers.py::test_cut_answer_is_not_whole_in_http10",
    ),
    Mutant(
        "answers: a failure inside a cut head is relayed as a success",
        "gateway/replica_connection.py",
        "        if _holds_status_line(event):",
        "        if self.is_reused and _holds_status_line(event):",
        "tests/serving/test_cut_answers.py::test_failure_inside_head_of_success_is_not_relayed_as_success",
    ),
    Mutant(
        "store: bytes after an answer are the next one",
        "http/client.py",
        "        if trailing or is_closed:",
        "        if False:",
        "tests/serving/test_cut_store_answers.py",
    ),
    Mutant(
        "store: bytes on an idle connection are the next answer",
        "http/client.py",
        "        if self._has_unread():",
        "        if False:",
        "tests/serving/test_cut_store_answers.py",
    ),
    Mutant(
        "jobs: nobody tells the owner of a job's end",
        "serving/batch_parts.py",
        "        self.service.on_ended = self._tell_owner",
        "        pass",
        "tests/serving/test_ended_jobs.py",
    ),
    Mutant(
        "jobs: the end of an earlier job ends a later one",
        "jobs/verifier.py",
        "if job is not None and job.record.accepted_ms == accepted_ms:",
        "if job is not None:",
        "tests/serving/test_ended_jobs.py",
    ),
    Mutant(
        "parts: a first answer is not told at once",
        "gateway/crash_ledger.py",
        "            self._cleared_at[key] = at\n            self.revision += 1\n",
        "            self._cleared_at[key] = at\n",
        "tests/serving/test_crash_records.py::test_nodes_know_before_the_third_crash_that_a_part_was_answered",
    ),
    Mutant(
        "parts: a request with several contained parts is a trial",
        "gateway/crash_ledger.py",
        "if len(due) < 2:",
        "if len(due) < 99:",
        "tests/unit/test_part_blame.py",
    ),
    Mutant(
        "parts: a stored answer clears a crash",
        "gateway/crash_ledger.py",
        "self.note_answer(key, now - STORED_ANSWER_TTL_S)",
        "self.note_answer(key, now - age_s)",
        "tests/unit/test_part_blame.py",
    ),
    Mutant(
        "parts: answers amid crashes are not stored",
        "fleet/crash_record_store.py",
        "{**dict.fromkeys(ledger.answers_to_store(), 0), **ledger.contained()}",
        "ledger.contained()",
        "tests/serving/test_crash_records.py::test_killed_fleet_knows_which_parts_were_answered_amid_crashes",
    ),
]


def run_mutant(mutant: Mutant) -> str:
    """Return an empty text when the test failed as expected, else what is wrong."""
    with tempfile.TemporaryDirectory() as folder:
        for part in ("src", "tests"):
            shutil.copytree(ROOT / part, Path(folder) / part)
        shutil.copy(ROOT / "pyproject.toml", folder)
        for file, old, new in ((mutant.file, mutant.old, mutant.new), *mutant.more):
            source = Path(folder) / "src" / "cloverwalk" / file
            text = source.read_text()
            if text.count(old) != 1:
                return f"its text occurs {text.count(old)} times in {file}"
            source.write_text(text.replace(old, new))
        command = [sys.executable, "-m", "pytest", "-x", "-q", "-p", "no:cacheprovider"]
        env = {**os.environ, "PYTHONPATH": f"{folder}/src"}
        try:
            ended = subprocess.run(
                [*command, mutant.test],
                cwd=folder,
                env=env,
                capture_output=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return ""  # a run that never ends is a failure as well
        return "" if ended.returncode == 1 else f"pytest ended with {ended.returncode}"


def main() -> int:
    """Run all mutants, or those whose name contains the arguments; return how many failed."""
    words = " ".join(sys.argv[1:])
    chosen = [mutant for mutant in MUTANTS if words in mutant.name]
    with ThreadPoolExecutor(max_workers=WORKERS) as pool:
        verdicts = list(pool.map(run_mutant, chosen))
    for mutant, verdict in zip(chosen, verdicts, strict=True):
        noticed = "noticed" if not verdict else f"NOT NOTICED: {verdict}"
        print(f"{noticed}: {mutant.name} ({mutant.test})")
    failed = sum(bool(verdict) for verdict in verdicts)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return failed


if __name__ == "__main__":
    sys.exit(min(main(), 1))
