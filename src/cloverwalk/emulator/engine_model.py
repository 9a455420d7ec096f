"""A model of a continuously batching engine, driven by a clock that is passed in.

Each step decodes one token for every running stream and prefills some of the waiting
prompts. Step time grows with the running batch and with the tokens prefilled, which is how
batch work harms online work even at a lower priority.
"""

from collections import OrderedDict
from random import Random

from msgspec import Struct

from cloverwalk.config.settings import EngineEmulatorSettings
from cloverwalk.core.types import Refusal, Work
from cloverwalk.emulator.answers import answer_tokens, count_tokens, prompt_seed
from cloverwalk.emulator.prefix_cache import PrefixCache

PREFILL_CHUNK_TOKENS = 512
KEPT_RESULTS = 5000
MODEL_BYTES = 100_000_000.0
"""Size of a model's weights in the stand-in's weight store."""

WAITING_PER_SLOT = 2


class StartRecord(Struct, frozen=True):
    """One line of the engine's own log of starts."""

    request_id: str
    attempt: int
    epoch: int
    at: float


class Emission(Struct, frozen=True):
    """Output of one stream in one step."""

    request_id: str
    attempt: int
    first: int
    tokens: int
    text: str
    finished: bool
    step_s: float


class StreamEnd(Struct, frozen=True):
    """A stream that ended early, with all of its output, the resumed part included."""

    request_id: str
    attempt: int
    text: str
    tokens: int


class RequestStatus(Struct, frozen=True):
    """What the engine knows of a request id."""

    state: str  # unknown, running, finished, aborted
    text: str = ""
    tokens: int = 0


class LoadReport(Struct, frozen=True):
    """A load report, which describes a moment ago."""

    at: float
    running: int
    waiting: int
    step_s: float
    leaving: bool


class _Stream(Struct):
    work: Work
    epoch: int
    seed: int
    order: int
    generated: int  # tokens in the whole answer so far
    resumed: int
    prefill_left: int = -1  # -1: still waiting for a slot

    @property
    def text(self) -> str:
        """Output so far, the resumed part included."""
        return answer_tokens(self.seed, 0, self.generated)


class EngineModel:
    """One engine."""

    def __init__(self, settings: EngineEmulatorSettings, random: Random) -> None:
        self.settings = settings
        self.model = settings.model
        self.epoch = 0
        self.leaving = False
        self.is_loading = False
        self.cache = PrefixCache(settings.cache_tokens, settings.event_loss, random)
        self.starts: list[StartRecord] = []
        self._running: dict[str, _Stream] = {}
        self._waiting: list[_Stream] = []
        self._ended: OrderedDict[str, RequestStatus] = OrderedDict()
        self._order = 0
        self._step_ends_at: float | None = None
        self._step_s = 0.0
        self._prefilled: list[_Stream] = []
        self._loads: list[LoadReport] = []
        self.tokens_generated = 0

    # --- calls ---

    def adopt(self, epoch: int) -> list[StreamEnd] | None:
        """Take a new owner's epoch; return the streams it aborts, None when it is stale."""
        if epoch < self.epoch:
            return None
        if epoch == self.epoch:
            return []
        self.epoch = epoch
        old = [*self._running.values(), *self._waiting]
        return [self._abort(stream) for stream in old if stream.epoch < epoch]

    def start(self, work: Work, epoch: int, now: float) -> Refusal | None:
        """Start work; return why it was not started, None when it was."""
        reason = self._refusal(work, epoch)
        if reason is not None:
            return reason
        self._order += 1
        resumed = count_tokens(work.resume_text)
        stream = _Stream(work, epoch, prompt_seed(work.prompt), self._order, resumed, resumed)
        self._waiting.append(stream)
        self.starts.append(StartRecord(work.request_id, work.attempt, epoch, now))
        return None

    def _refusal(self, work: Work, epoch: int) -> Refusal | None:
        if epoch < self.epoch:
            return Refusal.STALE_EPOCH
        if self.leaving:
            return Refusal.LEAVING
        if work.model != self.model or self.is_loading:
            return Refusal.WRONG_MODEL
        if work.request_id in self._running or any(
            one.work.request_id == work.request_id for one in self._waiting
        ):
            return Refusal.BUSY
        if len(self._waiting) >= self.settings.slots * WAITING_PER_SLOT:
            return Refusal.BUSY
        return None

    def cancel(self, request_id: str, attempt: int) -> StreamEnd | None:
        """Stop a stream; return its output so far, None when it does not run."""
        stream = self._find(request_id)
        if stream is None or stream.work.attempt != attempt:
            return None
        return self._abort(stream)

    def _find(self, request_id: str) -> _Stream | None:
        stream = self._running.get(request_id)
        if stream is not None:
            return stream
        return next((one for one in self._waiting if one.work.request_id == request_id), None)

    def _abort(self, stream: _Stream) -> StreamEnd:
        request_id = stream.work.request_id
        if self._running.pop(request_id, None) is None:
            self._waiting.remove(stream)
        elif stream.prefill_left <= 0:
            self.cache.add(stream.work.prompt, stream.work.prompt + stream.text, self._last_now)
        self._keep(request_id, RequestStatus("aborted"))
        return StreamEnd(request_id, stream.work.attempt, stream.text, stream.generated)

    def status(self, request_id: str) -> RequestStatus:
        """Return what is known of a request."""
        if self._find(request_id) is not None:
            return RequestStatus("running")
        return self._ended.get(request_id, RequestStatus("unknown"))

    def begin_load(self, epoch: int) -> bool:
        """Begin to obey a fenced order to load a model; False when stale or not idle."""
        if epoch < self.epoch or self._running or self._waiting or self.is_loading:
            return False
        self.is_loading = True
        return True

    def finish_load(self, model: str) -> None:
        """The weights are here: serve the new model with an empty cache."""
        self.is_loading = False
        self.model = model
        self.cache.clear()

    def _keep(self, request_id: str, status: RequestStatus) -> None:
        self._ended[request_id] = status
        if len(self._ended) > KEPT_RESULTS:
            self._ended.popitem(last=False)

    # --- steps ---

    _last_now = 0.0

    @property
    def running_count(self) -> int:
        """Streams that have a slot."""
        return len(self._running)

    def next_step_at(self, now: float) -> float | None:
        """Return when the present step ends; begins one when there is work."""
        if self._step_ends_at is None and (self._running or self._waiting):
            self._begin_step(now)
        return self._step_ends_at

    def _begin_step(self, now: float) -> None:
        self._admit()
        budget = PREFILL_CHUNK_TOKENS
        self._prefilled = []
        in_order = sorted(
            (one for one in self._running.values() if one.prefill_left > 0),
            key=lambda one: (one.work.priority, one.order),
        )
        for stream in in_order:
            taken = min(budget, stream.prefill_left)
            stream.prefill_left -= taken
            budget -= taken
            if stream.prefill_left == 0:
                self._prefilled.append(stream)
            if budget == 0:
                break
        prefill_s = (PREFILL_CHUNK_TOKENS - budget) / self.settings.prefill_tokens_per_s
        decode_s = self.settings.step_base_s
        decode_s += self.settings.step_per_stream_s * len(self._running)
        self._step_s = decode_s + prefill_s
        self._step_ends_at = now + self._step_s

    def _admit(self) -> None:
        self._waiting.sort(key=lambda one: (one.work.priority, one.order))
        while self._waiting and len(self._running) < self.settings.slots:
            stream = self._waiting.pop(0)
            prefix = stream.work.prompt + stream.work.resume_text
            tokens = count_tokens(prefix)
            cached = self.cache.cached_tokens(prefix)
            stream.prefill_left = max(1, tokens - cached)
            self._running[stream.work.request_id] = stream

    def step(self, now: float) -> list[Emission]:
        """End the present step; return the output."""
        self._step_ends_at = None
        self._last_now = now
        for stream in self._prefilled:
            self.cache.add(stream.work.prompt, stream.work.prompt, now)
        self._prefilled = []
        emissions = []
        for stream in list(self._running.values()):
            if stream.prefill_left == 0:
                emission = self._decode(stream, now)
                if emission is not None:
                    emissions.append(emission)
        self._note_load(now)
        return emissions

    def _decode(self, stream: _Stream, now: float) -> Emission | None:
        work = stream.work
        first = stream.generated
        stream.generated = min(first + 1, max(work.max_tokens, stream.resumed))
        self.tokens_generated += stream.generated - first
        finished = stream.generated >= work.max_tokens
        if finished:
            del self._running[work.request_id]
            text = stream.text
            self._keep(work.request_id, RequestStatus("finished", text, stream.generated))
            self.cache.add(work.prompt, work.prompt + text, now)
        if not work.stream:
            if not finished:
                return None
            first = stream.resumed
        tokens = stream.generated - first
        text = answer_tokens(stream.seed, first, tokens)
        return Emission(work.request_id, work.attempt, first, tokens, text, finished, self._step_s)

    # --- reports ---

    def _note_load(self, now: float) -> None:
        if self._loads and now - self._loads[-1].at < 0.1:
            return
        report = LoadReport(now, len(self._running), len(self._waiting), self._step_s, self.leaving)
        self._loads.append(report)
        del self._loads[:-100]

    def load(self, now: float) -> LoadReport:
        """Return the load as it was ``load_lag_s`` ago; the leaving sign lags as well."""
        before = now - self.settings.load_lag_s
        late = [report for report in self._loads if report.at <= before]
        if not late:
            return LoadReport(before, 0, 0, 0.0, self.leaving)
        if before - late[-1].at > 1.0:  # idle since
            return LoadReport(before, 0, 0, 0.0, self.leaving)
        return late[-1]
