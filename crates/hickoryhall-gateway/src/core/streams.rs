//! Software versions of streams: what is told to peers, and what they are asked.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use hickoryhall_types::hash_name;
use metrics::counter;
use slog::{debug, info, warn};
use tokio::sync::oneshot;

use super::Core;
use crate::clock::SuspendAwareClock;
use crate::registry::BackendServer;
use crate::stream_versions::{
    Inquiry, KeeperPositions, Moment, OwnKnowledge, SavedStreamReads, ServiceVersion,
    SharePosition, SoftwareHash, StreamHash, StreamKnowledge, StreamOrigin, StreamQuestion,
    StreamVersions, TakeUp,
};

/// Time between two inquiries about services, and the time for which each is open.
const SERVICE_INQUIRY_INTERVAL: Duration = Duration::from_secs(1);
const SERVICE_INQUIRY_TIME: Duration = Duration::from_millis(250);
/// Shortest time between two log lines about streams that are forgotten too early.
const FORGOTTEN_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of saved streams that a read adds to the memory, apart from those that are asked for.
const MAX_SAVED_STREAMS: usize = 32_768;

/// Receives the version at which a stream goes on, `None` if nobody knows.
pub type TakeUpReply = oneshot::Sender<Option<SoftwareHash>>;

/// A message about streams that a host began, with its recipients.
pub type ToldStreams = (Vec<Ipv4Addr>, Vec<StreamOrigin>);

/// State of the streams of this host and of those that callers take up here.
pub(super) struct StreamState {
    pub versions: StreamVersions,
    /// What each peer that keeps streams of this host has been told.
    keepers: KeeperPositions<Ipv4Addr>,
    /// The same of the streams that are told in the background.
    background_keepers: KeeperPositions<Ipv4Addr>,
    /// Position up to which all keepers have been told of shared streams.
    told_until: SharePosition,
    /// Position up to which shared streams are saved in the store.
    saved_until: SharePosition,
    /// Whether this host saves streams of others, and the position up to which it has.
    is_saver: bool,
    kept_saved_until: SharePosition,
    inquiries: HashMap<StreamQuestion, OpenInquiry>,
    /// Questions that no peer has been asked.
    unasked: Vec<StreamQuestion>,
    clock: SuspendAwareClock,
    /// Time, by `clock`, as of which the registry was read.
    registry_read_at: Option<Instant>,
    /// Whether the registry has to be read for an inquiry.
    wants_registry: bool,
    saved_reads: SavedStreamReads,
    /// When peers were last asked about services.
    services_asked_at: Option<Instant>,
    /// Own streams that were forgotten too early and not reported, and when such were last reported.
    forgotten: u64,
    forgotten_reported_at: Option<Instant>,
}

/// An inquiry with the requests that wait for it.
struct OpenInquiry {
    inquiry: Inquiry,
    opened_at: Instant,
    /// Whether peers have been asked.
    is_asked: bool,
    replies: Vec<TakeUpReply>,
}

/// What hosts tell and ask each other about streams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamMessages {
    /// Versions that the sender uses from now on.
    pub in_use: Vec<ServiceVersion>,
    /// Streams that the sender began.
    pub told: Vec<StreamOrigin>,
    /// Streams that callers take up at the sender.
    pub asked: Vec<StreamQuestion>,
    /// Answers to questions of the recipient.
    pub answers: Vec<(StreamQuestion, StreamKnowledge)>,
}

impl StreamMessages {
    /// Returns whether there is nothing to say.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self == &Self::default()
    }
}

impl OpenInquiry {
    fn new(now: Instant) -> Self {
        Self {
            inquiry: Inquiry::default(),
            opened_at: now,
            is_asked: false,
            replies: Vec::new(),
        }
    }

    /// Returns whether nothing is left to wait for; requests end their inquiry themselves.
    fn is_complete(&self, now: Instant) -> bool {
        let is_over = now.saturating_duration_since(self.opened_at) >= SERVICE_INQUIRY_TIME;
        self.inquiry.is_complete(now) || (self.replies.is_empty() && is_over)
    }
}

impl StreamState {
    pub fn new(is_first_start: bool) -> Self {
        Self {
            versions: StreamVersions::new(is_first_start),
            keepers: KeeperPositions::default(),
            background_keepers: KeeperPositions::default(),
            told_until: 0,
            saved_until: 0,
            is_saver: false,
            kept_saved_until: 0,
            inquiries: HashMap::new(),
            unasked: Vec::new(),
            clock: SuspendAwareClock::new(),
            registry_read_at: None,
            wants_registry: false,
            saved_reads: SavedStreamReads::default(),
            services_asked_at: None,
            forgotten: 0,
            forgotten_reported_at: None,
        }
    }
}

impl Core {
    fn moment(&self, now: Instant) -> Moment {
        Moment {
            now,
            registry_age: self.registry_age(),
        }
    }

    /// Returns the time since the registry was read; `None` if it has not been.
    #[must_use]
    pub fn registry_age(&self) -> Option<Duration> {
        let read_at = self.streams.registry_read_at?;
        Some(self.streams.clock.now().saturating_duration_since(read_at))
    }

    /// Records that the registry is known as it was `age` ago, and ends the inquiries that waited for
    /// that.
    pub fn record_registry_read(&mut self, now: Instant, age: Duration) {
        let clock_now = self.streams.clock.now();
        let read_at = clock_now.checked_sub(age).unwrap_or(clock_now);
        self.streams.registry_read_at = self.streams.registry_read_at.max(Some(read_at));
        for question in self.open_questions() {
            let own = self.own_knowledge(now, &question);
            let open = self.streams.inquiries.get(&question);
            if let Some(software) = open.and_then(|open| open.inquiry.on_registry_read(own)) {
                self.resolve(now, &question, Some(software));
            }
        }
    }

    pub(super) fn wants_registry(&self) -> bool {
        self.streams.wants_registry
    }

    /// Returns whether an inquiry needs the registry to be read now, which ends the demand.
    pub fn take_registry_demand(&mut self) -> bool {
        std::mem::take(&mut self.streams.wants_registry)
    }

    fn open_questions(&self) -> Vec<StreamQuestion> {
        self.streams.inquiries.keys().copied().collect()
    }

    fn own_knowledge(&mut self, now: Instant, question: &StreamQuestion) -> OwnKnowledge {
        let moment = self.moment(now);
        OwnKnowledge {
            knowledge: self.streams.versions.knowledge(moment, question),
            is_registry_current: moment.is_registry_current(),
        }
    }

    /// Returns the software of the process that a request was sent to, `None` if it is uncertain.
    #[must_use]
    pub fn software_of(&self, server: &BackendServer) -> Option<SoftwareHash> {
        self.streams.versions.software_of(server)
    }

    /// Applies the software versions that the store records.
    pub fn on_recorded_versions(&mut self, now: Instant, versions: BTreeSet<ServiceVersion>) {
        self.streams.versions.on_recorded(now, versions);
    }

    /// Returns the software versions that the store has to record from now on, `None` if it does.
    pub fn version_record_update(&mut self, now: Instant) -> Option<BTreeSet<ServiceVersion>> {
        self.streams.versions.record_update(now)
    }

    pub(super) fn may_need_version_record(&self) -> bool {
        self.streams.versions.may_need_record()
    }

    /// Records that a stream has its first event; `stream` is the request that brought it.
    pub fn record_stream(&mut self, now: Instant, stream: StreamHash, server: &BackendServer) {
        let Some(software) = self.software_of(server) else {
            return;
        };
        let origin = StreamOrigin {
            stream,
            service: hash_name(&server.service),
            software,
        };
        self.streams.versions.begin(now, origin);
    }

    /// Shares the streams of services that had one software version when they began and may have
    /// several now.
    pub(super) fn share_streams(&mut self, now: Instant) {
        self.report_forgotten_streams(now);
        if !self.streams.versions.may_have_to_share() {
            return;
        }
        for (service, streams) in self.streams.versions.share_own(now) {
            info!(
                self.logger, "core: A service may have several software versions. Its streams are shared.";
                "service" => service, "streams" => streams
            );
        }
    }

    fn report_forgotten_streams(&mut self, now: Instant) {
        let forgotten = self.streams.versions.take_forgotten();
        if forgotten == 0 {
            return;
        }
        counter!("streams_forgotten_total").increment(forgotten);
        self.streams.forgotten += forgotten;
        let reported_at = self.streams.forgotten_reported_at;
        if reported_at.is_none_or(|at| now.saturating_duration_since(at) >= FORGOTTEN_INTERVAL) {
            self.streams.forgotten_reported_at = Some(now);
            warn!(
                self.logger, "core: More streams are in progress than a host remembers. The oldest are forgotten.";
                "streams" => std::mem::take(&mut self.streams.forgotten)
            );
        }
    }

    /// Returns the time for which a stream may be taken up.
    #[must_use]
    pub fn stream_lifetime(&self) -> Duration {
        self.streams.versions.lifetime()
    }

    pub(super) fn has_unsaved_streams(&self) -> bool {
        self.streams.saved_until < self.streams.versions.own().shared().end()
    }

    /// Returns streams that have to be saved, at most `max`, and the position behind them.
    #[must_use]
    pub fn unsaved_streams(&self, max: usize) -> (Vec<StreamOrigin>, SharePosition) {
        let own = self.streams.versions.own();
        own.shared().streams_from(self.streams.saved_until, max)
    }

    /// Records that shared streams are saved up to a position.
    pub fn set_saved_until(&mut self, position: SharePosition) {
        let saved = self.streams.saved_until;
        self.streams.saved_until = saved.max(position);
    }

    /// Records that the store may have lost the streams that were saved.
    pub fn forget_saved(&mut self) {
        self.streams.saved_until = 0;
    }

    /// Sets whether this host saves streams of services with one version, those of some peers too.
    pub fn set_stream_saver(&mut self, is_saver: bool) {
        if self.streams.is_saver != is_saver {
            info!(self.logger, "core: Duty to save streams changed."; "is_saver" => is_saver);
        }
        self.streams.is_saver = is_saver;
    }

    /// Returns streams that this host has to save in the background, at most `max`, and the position
    /// behind them.
    #[must_use]
    pub fn unsaved_kept_streams(&self, max: usize) -> (Vec<StreamOrigin>, SharePosition) {
        let saved_until = self.streams.kept_saved_until;
        if self.streams.is_saver {
            let kept = self.streams.versions.kept();
            kept.streams_from(saved_until, max)
        } else {
            (Vec::new(), saved_until)
        }
    }

    /// Records that such streams are saved up to a position.
    pub fn set_kept_saved_until(&mut self, position: SharePosition) {
        self.streams.kept_saved_until = position;
    }

    pub(super) fn wants_saved_streams(&self) -> bool {
        self.streams.saved_reads.is_demanded()
    }

    /// Records streams that hosts have saved, and ends the inquiries that waited for them.
    pub fn on_saved_streams(&mut self, now: Instant, origins: &[StreamOrigin]) {
        let inquiries = &self.streams.inquiries;
        let is_asked = |origin: &&StreamOrigin| {
            inquiries.contains_key(&StreamQuestion {
                stream: Some(origin.stream),
                service: origin.service,
            })
        };
        let (asked, others) = origins.iter().partition::<Vec<_>, _>(is_asked);
        for origin in others.into_iter().take(MAX_SAVED_STREAMS).chain(asked) {
            self.streams.versions.record(now, origin);
        }
        self.end_inquiries_of_saved_streams(now);
    }

    /// Ends the inquiries that waited for saved streams, which cannot be read.
    pub fn on_saved_streams_unreadable(&mut self, now: Instant) {
        self.end_inquiries_of_saved_streams(now);
    }

    fn end_inquiries_of_saved_streams(&mut self, now: Instant) {
        self.streams.saved_reads.on_read(now);
        for question in self.open_questions() {
            let own = self.own_knowledge(now, &question);
            let open = self.streams.inquiries.get(&question);
            if let StreamKnowledge::Began(software) = own.knowledge {
                self.resolve(now, &question, Some(software));
            } else if open.is_some_and(|open| open.is_complete(now)) {
                self.end_inquiry(now, &question);
            }
        }
    }

    /// Returns whether the inquiry about a stream that nobody knows so far has to wait until saved streams
    /// are read, and demands that.
    fn awaits_saved_streams(&mut self, now: Instant, question: &StreamQuestion) -> bool {
        let own = self.own_knowledge(now, question);
        let open = self.streams.inquiries.get(question);
        let is_unknown = question.stream.is_some()
            && open.is_some_and(|open| open.inquiry.finish(own).is_none());
        let hosts = self.fleet.size(now);
        is_unknown && self.streams.saved_reads.demand(now, hosts)
    }

    /// Decides at which software version a stream that a caller takes up goes on, and sends it
    /// through `reply`, at once or when peers have answered.
    pub fn take_up(&mut self, now: Instant, question: StreamQuestion, reply: TakeUpReply) {
        let moment = self.moment(now);
        match self.streams.versions.take_up(moment, &question) {
            TakeUp::At(software) => {
                // Fails only if the caller has left.
                let _ = reply.send(Some(software));
            }
            TakeUp::Ask => {
                self.streams.wants_registry |= !moment.is_registry_current();
                let may_miss = self.streams.versions.may_miss_streams(now);
                if may_miss && !self.streams.saved_reads.has_read() {
                    let hosts = self.fleet.size(now);
                    self.streams.saved_reads.demand(now, hosts);
                }
                let open = self.streams.inquiries.entry(question);
                let open = open.or_insert_with(|| {
                    self.streams.unasked.push(question);
                    OpenInquiry::new(now)
                });
                open.replies.push(reply);
            }
        }
    }

    /// Returns the questions of open inquiries, which all known peers are asked now; `live` are those
    /// that were heard of lately. Inquiries for which nothing is left to wait for end.
    pub fn ask_peers(
        &mut self,
        now: Instant,
        has_peers: bool,
        live: &[Ipv4Addr],
    ) -> Vec<StreamQuestion> {
        self.streams.unasked.clear();
        for question in self.open_questions() {
            let own = self.own_knowledge(now, &question);
            // Without peers only the registry can tell more.
            let waits_for_registry =
                matches!(own.knowledge, StreamKnowledge::Only { .. }) && !own.is_registry_current;
            let open = self.streams.inquiries.get(&question);
            let is_complete = open.is_some_and(|open| open.is_complete(now));
            let is_asked = open.is_some_and(|open| open.is_asked);
            let has_nobody_to_ask = !(has_peers || waits_for_registry);
            let awaits_store = (is_complete || is_asked || has_nobody_to_ask)
                && self.awaits_saved_streams(now, &question);
            if (is_complete || has_nobody_to_ask) && !awaits_store {
                self.end_inquiry(now, &question);
            }
        }
        for open in self.streams.inquiries.values_mut() {
            open.is_asked = true;
            open.inquiry.ask(live.iter().copied());
        }
        if has_peers {
            self.open_questions()
        } else {
            Vec::new()
        }
    }

    /// Asks peers about services whose versions this host cannot know, as it has just started and the
    /// store does not record them: hosts of earlier builds keep no record.
    pub(super) fn ask_about_services(&mut self, now: Instant) {
        let asked_at = self.streams.services_asked_at;
        if asked_at.is_some_and(|at| now.saturating_duration_since(at) < SERVICE_INQUIRY_INTERVAL) {
            return;
        }
        self.streams.services_asked_at = Some(now);
        for service in self.streams.versions.unknown_services(now) {
            let question = StreamQuestion {
                stream: None,
                service,
            };
            let inquiries = &mut self.streams.inquiries;
            inquiries.entry(question).or_insert_with(|| {
                self.streams.unasked.push(question);
                OpenInquiry::new(now)
            });
        }
    }

    /// Returns whether an inquiry is open.
    #[must_use]
    pub fn has_open_inquiries(&self) -> bool {
        !self.streams.inquiries.is_empty()
    }

    /// Ends an inquiry with what is known by then.
    pub fn end_inquiry(&mut self, now: Instant, question: &StreamQuestion) {
        let own = self.own_knowledge(now, question);
        let open = self.streams.inquiries.get(question);
        let software = open.and_then(|open| open.inquiry.finish(own));
        self.resolve(now, question, software);
    }

    fn resolve(&mut self, now: Instant, question: &StreamQuestion, software: Option<SoftwareHash>) {
        let Some(open) = self.streams.inquiries.remove(question) else {
            return;
        };
        self.streams.unasked.retain(|other| other != question);
        if let Some(software) = open.inquiry.vouched_version() {
            let service = question.service;
            let version = ServiceVersion { service, software };
            self.streams.versions.vouch(now, version);
        }
        info!(
            self.logger, "core: Peers were asked for the software version of a stream.";
            "stream" => question.stream, "is_known" => software.is_some(),
            "inquiry" => ?open.inquiry
        );
        if let (Some(stream), Some(software)) = (question.stream, software) {
            let origin = StreamOrigin {
                stream,
                service: question.service,
                software,
            };
            self.streams.versions.record(now, &origin);
        }
        for reply in open.replies {
            // Fails only if the caller has left.
            let _ = reply.send(software);
        }
    }

    /// Applies what a peer tells and answers, and returns the answers to its questions.
    pub fn on_stream_messages(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        messages: &StreamMessages,
    ) -> Vec<(StreamQuestion, StreamKnowledge)> {
        for &version in &messages.in_use {
            self.streams.versions.record_in_use(now, version);
        }
        self.streams.versions.record_told(now, &messages.told);
        for (question, answer) in &messages.answers {
            debug!(
                self.logger, "core: Answer about the software version of a stream.";
                "host" => %from, "stream" => question.stream, "answer" => ?answer
            );
            let Some(open) = self.streams.inquiries.get_mut(question) else {
                continue;
            };
            let inquiry = &mut open.inquiry;
            let software = inquiry.on_answer(now, from, *answer);
            if software.is_some() {
                self.resolve(now, question, software);
            } else if inquiry.is_complete(now) && !self.awaits_saved_streams(now, question) {
                self.end_inquiry(now, question);
            }
        }
        let moment = self.moment(now);
        let asked = messages.asked.iter();
        let answers = asked.map(|question| {
            let knowledge = self.streams.versions.knowledge(moment, question);
            (*question, knowledge)
        });
        answers.collect()
    }

    pub(super) fn has_untold_streams(&self) -> bool {
        let versions = &self.streams.versions;
        self.streams.told_until < versions.own().shared().end() || versions.has_new()
    }

    pub(super) fn has_unasked_questions(&self) -> bool {
        !self.streams.unasked.is_empty()
    }

    /// Takes the software versions of which peers have not been told.
    pub fn take_new_versions(&mut self) -> Vec<ServiceVersion> {
        self.streams.versions.take_new()
    }

    /// Sets the peers that are told of the streams that this host began. One that is new is told of
    /// all of them that are shared.
    pub fn set_stream_keepers(&mut self, keepers: &[Ipv4Addr]) {
        let own = self.streams.versions.own();
        self.streams.keepers.set_keepers(keepers, own.shared());
        let background = &mut self.streams.background_keepers;
        background.set_keepers(keepers, own.background());
    }

    /// Returns the next message about shared streams, at most `max` of them, and the keepers that it
    /// goes to; `None` once all keepers have been told of all.
    pub fn next_told_streams(&mut self, max: usize) -> Option<ToldStreams> {
        let shared = self.streams.versions.own().shared();
        let message = self.streams.keepers.next_message(shared, max);
        if message.is_none() {
            self.streams.told_until = shared.end();
        }
        message
    }

    /// Does the same for the streams that are told in the background.
    pub fn next_background_streams(&mut self, max: usize) -> Option<ToldStreams> {
        let background = self.streams.versions.own().background();
        let keepers = &mut self.streams.background_keepers;
        keepers.next_message(background, max)
    }
}
