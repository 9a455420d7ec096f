"""Shows that the proofs can fail: breaks one mechanism at a time and runs its test.

Each mutant is applied to a copy of the source in a temporary folder; its test must fail
there. A mutant whose text is no longer in the source is an error, so the list stays true.
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
TIMEOUT_S = 120
WORKERS = 4


class Mutant(NamedTuple):
    """A broken mechanism and the test that must notice."""

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
RETURN = "tests/serving/test_return.py::"
ADMISSION = "tests/unit/test_admission.py::"
PARTS = "tests/unit/test_serving_parts.py::"
TENANTS = "tests/serving/test_tenants.py::"
ANSWERS = "tests/serving/test_replica_answers.py::"
QUOTAS = "tests/unit/test_quotas.py::"
CRASHING = "tests/serving/test_crashing_requests.py::"
CASES = "tests/serving/test_crash_cases.py::"
ITEM_ENDS = "tests/serving/test_item_ends.py::"
PROMISED = "tests/serving/test_promises.py::test_a_promise_is_given_only_where_no_replica_began"
REFUSALS = "tests/serving/test_refusals.py::"
JOB_REFUSALS = "tests/serving/test_job_refusals.py::"
ENTRIES = "tests/serving/test_replica_entries.py::"
RESTARTED = "tests/serving/test_restarted_replicas.py::"
NAMES = "tests/unit/test_interface_names.py::test_the_interface_has_the_names_that_are_kept"
SOAK = "tests/soak/test_soak_short.py::test_a_short_soak_breaks_no_promise"
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
        "running is not None and running.runner.token != token",
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
        "    return min(target, share * RISE_FACTOR + RISE_STEP)",
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
        "        while self.tokens in self._early:",
        "        self.tokens = min(self._early)\n        while self.tokens in self._early:",
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
        '        kept.append((names.EXPECT_INSTANCE, replica_id.encode("latin-1")))\n',
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
        "        if now - known.copied_at < COPY_EVERY_S:",
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
        "        return Transaction([Expectation(key, job.version)], puts)",
        "        return Transaction([], puts)",
        JOBS + "test_a_deposed_owner_lists_nothing",
    ),
    Mutant(
        "serving: another group follows an unsettled one",
        "jobs/lister.py",
        "                await self._resolve(job, group, record, outcome)\n                return",
        "                await self._resolve(job, group, record, outcome)\n            return",
        JOBS + "test_a_lost_answer_does_not_list_results_twice",
    ),
    Mutant(
        "serving: an unsure hand-in is called not run",
        "jobs/writes.py",
        "        if outcome.status is CommitStatus.NOT_DONE:",
        "        if outcome.status is not CommitStatus.COMMITTED:",
        JOBS + "test_an_unsure_hand_in_does_not_promise_that_nothing_runs",
    ),
    Mutant(
        "serving: hand-ins don't meet at the quota row",
        "jobs/intake.py",
        "            expectations.append(Expectation(row_key, version))\n",
        "",
        JOBS + "test_the_quota_holds_for_racing_nodes",
    ),
    Mutant(
        "serving: a job that was not read is denied",
        "jobs/reader.py",
        "JobError(Reason.UNAVAILABLE, error.code,",
        "JobError(Reason.NOT_FOUND, error.code,",
        JOBS + "test_a_missing_job_is_denied_only_when_the_store_surely_has_none",
    ),
    Mutant(
        "serving: output of two owners is joined",
        "jobs/run.py",
        "        owners.setdefault((partial.index, partial.epoch), []).append(partial)",
        "        owners.setdefault((partial.index, 0), []).append(partial)",
        JOBS + "test_saved_output_comes_back_as_one_owners_prefix",
    ),
    Mutant(
        "serving: nobody takes over jobs",
        "jobs/assigner.py",
        "        if self._is_orphan(record, now):",
        "        if False:",
        BATCH + "test_a_killed_owners_job_goes_on_at_another_node",
    ),
    Mutant(
        "serving: batch does not give way",
        "scheduling/batch_limits.py",
        "    return max(0, min(in_flight.batch, in_flight.total - slots))",
        "    return 0",
        BATCH + "test_batch_gives_its_slots_to_online_requests",
    ),
    Mutant(
        "serving: an ended job goes on",
        "jobs/verifier.py",
        "        return is_owner and not record.is_ended",
        "        return is_owner",
        BATCH + "test_an_ended_job_starts_nothing_more",
    ),
    Mutant(
        "serving: a draining replica is used",
        "gateway/replicas.py",
        "replica.service == service and not replica.is_draining",
        "replica.service == service",
        ONLINE + "test_draining_or_removed_replica_gets_no_new_requests",
        (
            (
                "gateway/replicas.py",
                "        return None if replica is None or replica.is_draining else replica",
                "        return replica",
            ),
        ),
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
        BATCH + "test_items_that_can_not_be_done_are_dead_after_their_attempts",
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
        "            is_known = job_id in self._runner.jobs or job_id in self._in_hand",
        "            is_known = job_id in self._runner.jobs",
        BATCH + "test_a_job_is_not_taken_over_while_it_is_handed_in",
    ),
    Mutant(
        "serving: pauses go on beyond the store's return",
        "store/health.py",
        "        returned = self._returned if self.is_unavailable else None",
        "        returned = None",
        HEALTH + "test_a_transaction_in_a_long_pause_is_repeated_at_once",
    ),
    Mutant(
        "serving: output is not saved at the store's return",
        "jobs/checkpoint.py",
        "            await self._health.backoff(SAVE_EVERY_MS)",
        "            await curio.sleep(SAVE_EVERY_MS / 1000)",
        HEALTH + "test_output_of_running_items_is_saved_when_the_store_is_back",
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
        HEALTH + "test_a_node_that_learns_of_the_return_first_tells_its_peers",
    ),
    Mutant(
        "serving: prompts to read are not counted",
        "scheduling/replica_view.py",
        "        self._read_until[replica_id] = begins_at + reading_ms / 1000",
        "        self._read_until[replica_id] = begins_at",
        SCHEDULER + "test_a_long_prompt_counts_until_it_is_read",
    ),
    Mutant(
        "serving: a removed job comes back",
        "jobs/view.py",
        "        if self._removed.get(record.job_id, -1) > version:",
        "        if False:",
        JOBS + "test_a_read_that_lags_behind_does_not_bring_a_removed_job_back",
    ),
    Mutant(
        "serving: what clients do not read grows without bound",
        "gateway/memory_budget.py",
        "        while self._readers and not self._fits(needed):",
        "        while False:",
        FULL_NODES + "test_clients_that_do_not_read_hold_a_bounded_part_of_the_memory_and_no_slots",
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
        "            async with curio.timeout_after(SEND_STALL_S):",
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
        "    return PlacementVerdict.RETRY_LATER if may_return else PlacementVerdict.QUEUE",
        "    return PlacementVerdict.SEND",
        ONLINE + "test_requests_beyond_free_slots_get_retry_after_and_do_not_run",
    ),
    Mutant(
        "serving: who came back is turned away again",
        "scheduling/admission.py",
        "    return PlacementVerdict.RETRY_LATER if may_return else PlacementVerdict.QUEUE",
        "    return PlacementVerdict.RETRY_LATER",
        ADMISSION + "test_a_request_that_came_back_is_not_turned_away_again",
    ),
    Mutant(
        "serving: patient requests fill the queues of urgent ones",
        "scheduling/admission.py",
        "        and (one.priority <= priority or one == route)",
        "        and one == route",
        ADMISSION + "test_less_urgent_requests_fill_no_queue_in_which_urgent_ones_would_be_late",
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
        "        self._change(replica_id, _expected(decision), 1)\n\n    def remove_node",
        "\n    def remove_node",
        SCHEDULER + "test_every_free_slot_goes_to_waiting_items_at_once_and_none_twice",
    ),
    Mutant(
        "serving: items that were told to give way still count",
        "scheduling/batch.py",
        "replica_id, batch=-count, tokens=tokens, now=now)",
        "replica_id, batch=0, now=now)",
        SCHEDULER + "test_items_give_way_for_each_online_request_and_no_more",
    ),
    Mutant(
        "memory: a request is placed beside more than fits",
        "scheduling/replica_memory.py",
        "return limit == 0 or work.tokens - work.batch_tokens + tokens <= limit",
        "return limit == 0 or tokens <= limit",
        "tests/serving/test_replica_memory.py::"
        "test_no_burst_of_long_requests_fills_a_replica_beyond_its_memory",
    ),
    Mutant(
        "memory: items keep the memory that an online request needs",
        "scheduling/replica_view.py",
        "return max(by_slots, self._memory.items_to_preempt(replica, now))",
        "return by_slots",
        "tests/serving/test_replica_memory.py::"
        "test_items_give_way_where_they_hold_the_memory_that_an_online_request_needs",
    ),
    Mutant(
        "serving: an order settles when its items have given way",
        "fleet/coordinator_client.py",
        "        self._settled[host] = (orders.sender, orders.number)\n        target =",
        "        target =",
        ITEM_SLOTS + "test_orders_settle_in_their_order_while_items_give_way",
        more=(
            (
                "fleet/coordinator_client.py",
                "        if orders.grants or orders.revokes:\n",
                "        self._settled[host] = (orders.sender, orders.number)\n"
                "        if orders.grants or orders.revokes:\n",
            ),
            (
                "jobs/runner.py",
                "        for running in giving_way:\n"
                "            await running.task.cancel(blocking=False)",
                "        for running in giving_way:\n            await running.task.cancel()",
            ),
        ),
    ),
    Mutant(
        "serving: items that give way count until they have closed",
        "jobs/runner.py",
        "            self._loads.end(running.work)\n        return chosen",
        "        return chosen",
        ITEM_SLOTS + "test_a_report_counts_an_order_wholly_or_not_at_all",
        more=(
            (
                "jobs/runner.py",
                "        if not running.gives_way:\n            self._loads.end",
                "        if True:\n            self._loads.end",
            ),
        ),
    ),
    Mutant(
        "serving: orders wait until items have given way",
        "jobs/runner.py",
        "        for running in giving_way:\n            await running.task.cancel(blocking=False)",
        "        for running in giving_way:\n            await running.task.cancel()",
        ITEM_SLOTS + "test_orders_do_not_wait_until_items_have_given_way",
    ),
    Mutant(
        "serving: items take slots before held requests",
        "scheduling/online.py",
        "            replica_id = self._try(held, False, now)\n",
        "            replica_id = None\n",
        SCHEDULER + "test_a_held_request_gets_the_next_slot_before_any_item",
    ),
    Mutant(
        "serving: orders take effect each time they come",
        "fleet/coordinator_client.py",
        "        if run == orders.sender and orders.number <= settled:",
        "        if False:",
        COORDINATION + "test_orders_take_effect_once_and_only_those_of_the_node_that_is_followed",
    ),
    Mutant(
        "zones: standbys are chosen by name alone",
        "fleet/node_registry.py",
        "            return _by_zone(able, own_zone)",
        "            pass",
        "tests/serving/test_zone_loss.py::"
        "test_each_other_zone_has_a_standby_and_its_place_is_filled_again",
    ),
    Mutant(
        "zones: who takes the role forgets the nodes elsewhere",
        "fleet/coordinator.py",
        "            nodes = max(nodes, self._fleet_size) if is_recent else nodes",
        "            pass",
        "tests/serving/test_zone_loss.py::"
        "test_a_zone_that_is_cut_off_gets_slots_within_it_and_turns_back",
    ),
    Mutant(
        "zones: one failed replica shuts its zone out",
        "scheduling/zone_reachability.py",
        "        if not link.is_shut and len(link.failed_at) >= needed:",
        "        if not link.is_shut:",
        "tests/serving/test_zone_loss.py::"
        "test_few_failures_or_one_answer_between_them_shut_no_zone",
    ),
    Mutant(
        "serving: a node that nobody answers starts items",
        "fleet/coordinator_client.py",
        "            report.waiting = {}",
        "            pass",
        COORDINATION + "test_a_node_that_decides_alone_starts_no_items",
    ),
    Mutant(
        "serving: no standby follows a coordinator that is gone",
        "fleet/election.py",
        "holder_heard_at > CLAIM_AFTER_S + rank * CLAIM_STEP_S:\n                return True",
        "holder_heard_at > CLAIM_AFTER_S + rank * CLAIM_STEP_S:\n                return False",
        COORDINATION + "test_a_standby_takes_over_from_a_coordinator_that_is_gone",
    ),
    Mutant(
        "serving: a claim of a node that nobody hears stands",
        "fleet/election.py",
        "        elif now - self._usurped_since >= VERIFY_EVERY_S and self._is_heard():",
        "        elif False:",
        COORDINATION + "test_a_node_that_nobody_hears_does_not_keep_the_role_from_the_others",
    ),
    Mutant(
        "serving: a lost change of the replicas stays lost",
        "fleet/state_sender.py",
        "report.directory != self._directory.fingerprint",
        "report.directory != report.directory",
        COORDINATION + "test_a_lost_change_of_the_replicas_is_made_good_within_a_report",
    ),
    Mutant(
        "serving: a silent coordinator is waited for",
        "fleet/coordinator_client.py",
        "        self._leader.note_silent(target.host)\n",
        "",
        COORDINATION + "test_requests_go_on_with_a_standby_while_the_coordinator_is_silent",
    ),
    Mutant(
        "serving: keys are looked up in the first configuration",
        "gateway/configuration.py",
        "        self.tenants = TenantDirectory(configuration.tenants or ())",
        "        if not self.tenants.by_name:\n"
        "            self.tenants = TenantDirectory(configuration.tenants or ())",
        TENANTS + "test_a_key_that_was_taken_away_is_refused_on_a_kept_connection",
    ),
    Mutant(
        "serving: a client names its tenant",
        "platform/codec.py",
        "        names.TENANT.lower(),\n",
        "",
        TENANTS + "test_a_replica_gets_the_name_of_the_tenant_and_no_key",
    ),
    Mutant(
        "serving: the key goes to the replica",
        "serving/request_handler.py",
        "            request.headers = self._codec.without_key(request.headers)",
        "            pass",
        TENANTS + "test_no_key_stands_in_any_output",
    ),
    Mutant(
        "serving: a takeover begins with full buckets",
        "scheduling/quotas.py",
        "            bucket.drain_to(self._careful(tenant) + gained, now)",
        "            pass",
        QUOTAS + "test_a_takeover_keeps_the_quota",
    ),
    Mutant(
        "serving: each deputy gives out the whole quota",
        "scheduling/quotas.py",
        "        share = min(1.0, heard / nodes) if nodes > 0 else 0.0",
        "        share = 1.0",
        QUOTAS + "test_nodes_that_decide_alone_keep_the_quota",
    ),
    Mutant(
        "serving: what deputies gave out is not counted",
        "scheduling/quotas.py",
        "            account.bucket.take_on_credit(now, float(count))",
        "            pass",
        QUOTAS + "test_what_a_deputy_gave_out_is_counted_once",
    ),
    Mutant(
        "serving: any tenant reads any job",
        "jobs/service.py",
        "        if record.tenant != tenant:",
        "        if False:",
        TENANTS + "test_a_job_belongs_to_its_tenant",
    ),
    Mutant(
        "serving: tenants share a quota of waiting tokens",
        "jobs/records.py",
        'f"{route_name}/{tenant}" if tenant else route_name',
        "route_name",
        TENANTS + "test_the_waiting_tokens_of_one_tenant_are_not_anothers",
    ),
    Mutant(
        "serving: a job is taken at time zero",
        "jobs/intake.py",
        "        time = self._store_time()\n        if time is None:",
        "        time = self._store_time() or StoreTime(0.0, 0.0)\n        if time is None:",
        JOBS + "test_no_job_is_taken_while_the_time_of_the_store_is_unknown",
    ),
    Mutant(
        "serving: a job's retention is counted from the least that the store's time can be",
        "jobs/intake.py",
        "        accepted_ms = time.latest_ms",
        "        accepted_ms = time.earliest_ms",
        ITEM_ENDS
        + "test_a_job_is_kept_for_its_retention_whenever_its_process_first_heard_the_store",
    ),
    Mutant(
        "serving: retention is over by the most that the store's time can be",
        "jobs/evidence.py",
        "    if is_kept_for_good or time.earliest_ms <= give_up_ms:",
        "    if is_kept_for_good or time.latest_ms <= give_up_ms:",
        ITEM_ENDS + "test_a_new_owner_that_knows_the_time_roughly_gives_nothing_up_early",
    ),
    Mutant(
        "serving: a route has ended by any configuration that lacks it",
        "jobs/evidence.py",
        "        confirmed_ms = confirmed_at_ms - since_ms",
        "        confirmed_ms = now_ms - since_ms",
        ITEM_ENDS + "test_a_route_that_an_older_configuration_lacks_has_not_ended",
    ),
    Mutant(
        "serving: the time of the store is kept against an answer that contradicts it",
        "store/clock.py",
        "        if jump_ms > 0:",
        "        if False:",
        HEALTH + "test_a_machine_that_was_suspended_knows_the_time_again",
    ),
    Mutant(
        "serving: a job keeps the retention of the version that took it",
        "jobs/evidence.py",
        "        kept_ms = max(kept_ms, route.retention_s * 1000)",
        "        pass",
        ITEM_ENDS + "test_a_retention_that_was_raised_holds_for_jobs_that_wait",
    ),
    Mutant(
        "serving: a job keeps the attempts of the version that took it",
        "jobs/evidence.py",
        "        allowed = max(allowed, route.max_attempts)",
        "        pass",
        BATCH + "test_items_have_the_attempts_of_the_route_in_force",
    ),
    Mutant(
        "serving: no retention is one of zero",
        "jobs/evidence.py",
        "    is_kept_for_good = kept_ms <= 0",
        "    is_kept_for_good = False",
        ITEM_ENDS + "test_a_route_that_tells_no_retention_gives_nothing_up",
    ),
    Mutant(
        "serving: a route has ended with the first look without it",
        "jobs/evidence.py",
        "        if confirmed_ms <= self.GONE_AFTER_MS:",
        "        if confirmed_ms < 0:",
        ITEM_ENDS + "test_a_route_that_an_older_configuration_lacks_has_not_ended",
    ),
    Mutant(
        "serving: a shadowed batch route has ended",
        "jobs/runner.py",
        "configuration.find_batch_route(job",
        "configuration.find_route(job",
        ITEM_ENDS + "test_a_longer_prefix_of_another_kind_does_not_end_a_batch_route",
    ),
    Mutant(
        "serving: a hand-in begins anew what its node has taken over",
        "jobs/intake.py",
        "        is_new = record.epoch == 1 and record.listed == 0",
        "        is_new = True",
        JOBS + "test_a_resent_job_that_its_node_has_taken_over_is_not_begun_anew",
    ),
    Mutant(
        "serving: the time of the store is set back by an answer that lay unread",
        "store/clock.py",
        "max(self._least_ahead_ms, least_ms)",
        "least_ms",
        HEALTH + "test_an_answer_that_lay_unread_does_not_set_the_time_back",
    ),
    Mutant(
        "serving: totals of many replicas are told each second",
        "fleet/coordinator.py",
        "        if entries <= TOTALS_ENTRIES_PER_S * TOTALS_EVERY_S:",
        "        if entries >= 0:",
        COORDINATION + "test_totals_of_many_replicas_are_told_rarely",
    ),
    Mutant(
        "serving: a long list of replicas is sent to nodes that read it themselves",
        "fleet/state_sender.py",
        "        if parts > 1 and known.report.store_age_ms < STORE_SERVES_MS:",
        "        if False:",
        COORDINATION + "test_a_long_list_of_replicas_is_left_to_the_store",
    ),
    Mutant(
        "serving: a list of replicas is taken before all its parts have come",
        "fleet/directory_sync.py",
        "        if len(self._parts) < update.parts:\n            return None\n",
        "",
        COORDINATION + "test_a_long_list_reaches_a_node_that_the_store_refuses_in_parts",
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
        "str(error), work.state, error.wait_s)",
        "str(error), WorkState.NOT_BEGUN, error.wait_s)",
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
        "        return self.wait_s if self.work is WorkState.NOT_BEGUN else None",
        "        return self.wait_s",
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
        JOB_REFUSALS + "test_a_refused_hand_in_is_never_in_the_store",
    ),
    Mutant(
        "serving: refusals: an end without an answer counts as not done",
        "jobs/writes.py",
        "        if outcome.status is CommitStatus.NOT_DONE:",
        "        if outcome.status is not CommitStatus.COMMITTED:",
        JOB_REFUSALS + "test_a_refused_end_never_takes_effect",
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
        "tests/unit/test_problem.py::test_who_gives_up_need_not_know_what_was_sent",
    ),
    Mutant(
        "serving: refusals: any failure of the store says that nothing was done",
        "platform/store_client.py",
        "            is_refused = response.status < 500 or response.status in REFUSING_STATUSES",
        "            is_refused = True",
        JOB_REFUSALS + "test_a_failure_of_the_store_does_not_say_that_nothing_was_done",
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
        "        if self.is_reused and _holds_status_line(event):",
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
        "    if REPLACEMENT in event.data:",
        "    if False:",
        ANSWERS + "test_invalid_utf8_is_not_used_as_item_text",
    ),
    Mutant(
        "serving: return of a fleet: a coordinator follows its earlier process",
        "fleet/leader.py",
        "        if leadership.term <= self.term or self._is_of_earlier_process(leadership):",
        "        if leadership.term <= self.term:",
        RETURN + "test_all_nodes_serve_soon_after_all_were_killed",
    ),
    Mutant(
        "serving: return of a fleet: who has heard nobody waits as in a fleet that runs",
        "fleet/election.py",
        "        if self._leader.is_unheard:",
        "        if False:",
        RETURN + "test_a_fleet_whose_coordinator_and_standbys_are_refused_serves_soon",
    ),
    Mutant(
        "serving: return of a fleet: nodes that start are sent copies",
        "fleet/state_sender.py",
        "        if report.configuration_version < 0 and self._is_starting(known, now):",
        "        if False:",
        COORDINATION + "test_a_node_that_starts_and_is_not_refused_by_the_store_is_sent_no_copies",
    ),
    Mutant(
        "serving: return of a fleet: the first list is sent as a change",
        "fleet/state_sender.py",
        "        if not before:",
        "        if False:",
        COORDINATION + "test_the_first_list_of_a_new_coordinator_is_not_sent_to_all_nodes",
    ),
    Mutant(
        "serving: return of a fleet: each answer of the store is told to all",
        "fleet/coordinator.py",
        "        self._must_tell_returned = now - self._told_returned_at < TELL_RETURNED_EVERY_S",
        "        self._must_tell_returned = False",
        RETURN + "test_a_store_that_refuses_many_calls_is_not_told_of_for_each_answer",
    ),
    Mutant(
        "crashes: a node keeps to itself what it has seen",
        "fleet/crash_record_sync.py",
        "        self.merge(report.crash_records, report.node)",
        "        report.crash_records.clear()",
        CASES + "test_a_guilty_request_reaches_few_replicas_whatever_happens",
    ),
    Mutant(
        "crashes: an ended replica is no evidence",
        "gateway/crash_detector.py",
        "        if reachability is not Reachability.REFUSES:",
        "        if reachability is not None:",
        CRASHING + "test_crashing_request_is_contained_across_nodes",
    ),
    Mutant(
        "crashes: a reset connection is evidence",
        "gateway/crash_detector.py",
        "        if reachability is not Reachability.REFUSES:",
        "        if reachability is Reachability.SILENT:",
        CRASHING + "test_reset_connection_is_no_evidence",
    ),
    Mutant(
        "crashes: a request that was sent to an ended replica is a suspect",
        "gateway/crash_detector.py",
        "        return delivery.is_new_connection or elapsed_s >= DELIVERY_THRESHOLD_S",
        "        return elapsed_s >= 0",
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
        "        return self._clear(content, at)",
        "        return False",
        CASES + "test_a_popular_request_is_not_contained_for_its_neighbour",
    ),
    Mutant(
        "crashes: a node forgets what it answered before it heard of a case",
        "gateway/crash_ledger.py",
        "        new_crashes = {key: at for key, at in crashed_at.items() if at > answered_at}",
        "        new_crashes = crashed_at",
        CASES + "test_the_order_in_which_cases_are_told_makes_no_difference",
    ),
    Mutant(
        "crashes: an answer that clears the only case is not told",
        "fleet/crash_record_sync.py",
        "        if not self.ledger.needs_sync:",
        "        if self.ledger.is_empty:",
        CASES + "test_an_answer_that_clears_a_nodes_only_case_is_told_to_all",
    ),
    Mutant(
        "crashes: the store's rows are not read",
        "fleet/crash_record_store.py",
        '        self._cases.merge(copies, "store")',
        "        copies.clear()",
        CRASHING + "test_restarted_fleet_loads_crash_records_from_store",
    ),
    Mutant(
        "crashes: every node grants trials",
        "gateway/crash_ledger.py",
        "        if containment is Containment.TRIAL_DUE and self.grants_trials:",
        "        if containment is Containment.TRIAL_DUE:",
        CASES + "test_trials_come_one_at_a_time_and_ever_more_rarely",
    ),
    Mutant(
        "crashes: items are sent on",
        "jobs/runner.py",
        "        if self._witness.ledger.is_empty:\n            return pending",
        "        return pending",
        CRASHING + "test_crashing_item_does_not_delay_other_items",
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
        "tests/unit/test_clock.py::test_steady_time_goes_on_while_the_machine_is_suspended",
    ),
    Mutant(
        "soak: a request that replicas broke off is called not run",
        "core/error_response.py",
        "str(error), work.state, error.wait_s)",
        "str(error), WorkState.NOT_BEGUN, error.wait_s)",
        SOAK,
    ),
    Mutant(
        "entries: one that can't be read leaves the one before it in use",
        "serving/fleet_state.py",
        "            elif self.directory.remove(row.row_key.key, row.version):",
        "            elif not row.value and self.directory.remove(row.row_key.key, row.version):",
        ENTRIES + "test_changes_and_a_whole_read_tell_the_same",
    ),
    Mutant(
        "entries: a state that is not known counts as leaving",
        "platform/documents.py",
        "    if wire.state not in STATES:",
        "    if not wire.state:",
        ENTRIES + "test_an_odd_entry_names_no_replica_to_use",
        (("platform/documents.py", "STATES[wire.state]", 'wire.state != "ready"'),),
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
        "kept_at and kept_at.may_be_incarnation(one.replica_started_ms)",
        "kept_at",
        RESTARTED + "test_items_resume_and_drop_cached_prompt_after_restart",
    ),
    Mutant(
        "restarts: two starts of a replica count once against a request",
        "gateway/crash_detector.py",
        "            if self.ledger.note_crash(content, replica.incarnation_id, probe.failed_at):",
        "            if self.ledger.note_crash(content, replica.replica_id, probe.failed_at):",
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
]


def run_mutant(mutant: Mutant) -> str:
    """Return an empty text when the test failed as it must, else what is wrong."""
    with tempfile.TemporaryDirectory() as folder:
        for part in ("src", "tests"):
            shutil.copytree(ROOT / part, Path(folder) / part)
        shutil.copy(ROOT / "pyproject.toml", folder)
        for file, old, new in ((mutant.file, mutant.old, mutant.new), *mutant.more):
            source = Path(folder) / "src" / "cloverwalk" / file
            text = source.read_text()
            if text.count(old) != 1:
                return f"its text stands {text.count(old)} times in {file}"
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
    """Run all mutants, or those whose name has the given words."""
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
