//! Which governors are there: SWIM, as published (Das, Gupta and Motivala, 2002). Each asks one other a
//! period, in a shuffled round; who doesn't answer is asked through some others; who still doesn't is
//! suspect, says so itself with a higher incarnation if it hears of it, and is dead otherwise after a while.
//! Words travel on these messages, each so many times as it takes to reach all.
//!
//! Added to what was published, each against something met: a word about the receiver always travels to it if
//! it is not well spoken of, so that it can say otherwise at once; the dead are asked again now and then, as
//! a split heals without a word; and who finds that it stalled itself blames nobody for it.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use crate::messages::{Body, Figures, Message, Standing, Word, length};

/// How membership is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// One other is asked so often.
    pub period: Duration,
    /// An answer is due within it; then others are asked to ask.
    pub answer: Duration,
    /// How many.
    pub helpers: usize,
    /// A suspect has so many periods, times the logarithm of the number of governors, to say otherwise.
    pub patience: f64,
    /// A word is sent so many times the logarithm of their number.
    pub repeats: f64,
    /// Bytes of words about others on one message.
    pub words: usize,
}

impl Default for Pace {
    /// A dead governor is found within a second or two, and a lost datagram or two does no harm.
    fn default() -> Self {
        Pace {
            period: Duration::from_millis(400),
            answer: Duration::from_millis(120),
            helpers: 2,
            patience: 3.0,
            repeats: 3.0,
            words: 500,
        }
    }
}

/// Governors known at once: made-up ones (by somebody with the key) must not fill the memory.
const MOST: usize = 1000;
/// One of the dead is asked in each so many periods.
const REVIVE: u64 = 4;
/// The dead that nobody stated are forgotten after it.
const FORGET: Duration = Duration::from_secs(600);
/// Pings for others that may be open.
const MOST_HELPED: usize = 64;

/// What is known of another governor.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    pub word: Word,
    /// When its standing changed last, as seen here.
    pub since: Duration,
    /// When something came from it directly.
    pub heard: Option<Duration>,
    /// The settings name it: its address is theirs to say, and it is never forgotten.
    stated: bool,
}

impl Member {
    /// Whether proxies can be handed to it.
    pub fn is_open(&self) -> bool {
        self.word.standing <= Standing::Suspect && !self.word.figures.draining
    }

    pub fn is_there(&self) -> bool {
        self.word.standing <= Standing::Suspect
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Asking {
    target: String,
    number: u64,
    helped: bool,
    since: Duration,
}

/// What membership comes to.
#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    Send(SocketAddr, Box<Message>),
    /// A governor's standing changed.
    Stands(String, Standing),
    /// This governor did nothing for so long: nobody is blamed for what was not heard meanwhile.
    Stalled(Duration),
}

#[derive(Debug)]
pub struct Members {
    me: Word,
    others: BTreeMap<String, Member>,
    pace: Pace,
    asking: Option<Asking>,
    /// When the next is asked.
    next: Duration,
    round: Vec<String>,
    /// By name: how often the word about it was sent since it changed.
    sent: BTreeMap<String, u32>,
    /// Pings for others: under my number, who asked under which, and until when it matters.
    helping: BTreeMap<u64, (String, u64, Duration)>,
    numbers: u64,
    periods: u64,
    seed: u64,
    out: std::collections::VecDeque<Out>,
}

impl Members {
    /// `incarnation`: one that is higher than in any earlier life, as far as is known. `peers` are asked at
    /// once.
    pub fn new(
        name: &str,
        at: SocketAddr,
        incarnation: u64,
        peers: &[(String, SocketAddr)],
        pace: Pace,
        now: Duration,
    ) -> Self {
        let word = |name: &str, at, incarnation, standing| Word {
            name: name.to_string(),
            at,
            incarnation,
            standing,
            figures: Figures::default(),
        };
        let stated = peers.iter().filter(|(peer, _)| peer != name).take(MOST).map(|(peer, at)| {
            // Nobody knows of it yet: the first word that comes holds.
            let word = word(peer, *at, 0, Standing::Dead);
            (peer.clone(), Member { word, since: now, heard: None, stated: true })
        });
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let mut members = Members {
            me: word(name, at, incarnation, Standing::Alive),
            others: stated.collect(),
            pace,
            asking: None,
            next: now + pace.period,
            round: Vec::new(),
            sent: BTreeMap::new(),
            helping: BTreeMap::new(),
            numbers: 0,
            periods: 0,
            seed: hasher.finish(),
            out: std::collections::VecDeque::new(),
        };
        let names: Vec<String> = members.others.keys().cloned().collect();
        for name in names {
            members.numbers += 1;
            members.say(&name, Body::Ping { number: members.numbers });
        }
        members
    }

    pub fn me(&self) -> &Word {
        &self.me
    }

    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.others.get(name)
    }

    /// Governors that are there, this one included.
    pub fn there(&self) -> usize {
        1 + self.others.values().filter(|member| member.is_there()).count()
    }

    // ---- inputs

    /// What this governor says of itself.
    pub fn say_figures(&mut self, joined: usize, draining: bool) {
        let joined = u32::try_from(joined).unwrap_or(u32::MAX);
        if (self.me.figures.joined, self.me.figures.draining) == (joined, draining) {
            return;
        }
        let turn = self.me.figures.turn + 1;
        self.me.figures = Figures { turn, joined, draining };
    }

    /// Takes a message in. False: it is not for this governor, or from itself, and tells nothing.
    pub fn heard(&mut self, now: Duration, message: &Message) -> bool {
        if message.to != self.me.name || message.from.name == self.me.name {
            return false;
        }
        let from = message.from.name.clone();
        self.take(now, &message.from);
        for word in &message.words {
            self.take(now, word);
        }
        if let Some(member) = self.others.get_mut(&from) {
            member.heard = Some(now);
        }
        match &message.body {
            Body::Ping { number } => {
                let of = self.me.name.clone();
                self.say(&from, Body::Ack { number: *number, of });
            }
            Body::PingFor { number, target } if self.others.contains_key(target) => {
                self.numbers += 1;
                self.helping.retain(|_, (_, _, until)| *until > now);
                if self.helping.len() < MOST_HELPED {
                    let until = now + self.pace.period * 2;
                    self.helping.insert(self.numbers, (from, *number, until));
                    self.say(target, Body::Ping { number: self.numbers });
                }
            }
            Body::Ack { number, of } => {
                let answers = |asking: &Asking| asking.number == *number && asking.target == *of;
                if self.asking.as_ref().is_some_and(answers) {
                    self.asking = None;
                }
                if *of == from
                    && let Some((asker, asked, _)) = self.helping.remove(number)
                {
                    self.say(&asker, Body::Ack { number: asked, of: from });
                }
            }
            _ => {}
        }
        true
    }

    /// This governor stops: all that are there are told, once.
    pub fn leave(&mut self) {
        self.me.standing = Standing::Left;
        let there: Vec<String> =
            self.others.values().filter(|one| one.is_there()).map(|one| one.word.name.clone()).collect();
        for name in there {
            self.numbers += 1;
            self.say(&name, Body::Ping { number: self.numbers });
        }
    }

    /// A message to another governor, with as many words as fit behind it. One that nobody knows gets none.
    pub fn say(&mut self, to: &str, body: Body) {
        let Some(at) = self.others.get(to).map(|member| member.word.at) else { return };
        let room = match &body {
            Body::Offer { .. } => 0,
            _ => self.pace.words,
        };
        let words = self.words_for(to, room);
        let message = Message { from: self.me.clone(), to: to.to_string(), body, words };
        self.out.push_back(Out::Send(at, Box::new(message)));
    }

    // ---- steps

    /// The next thing to do, until there is none.
    pub fn step(&mut self, now: Duration) -> Option<Out> {
        self.settle(now);
        self.out.pop_front()
    }

    pub fn next_due(&self) -> Duration {
        let asking = self.asking.as_ref().filter(|asking| !asking.helped);
        let help = asking.map_or(self.next, |asking| asking.since + self.pace.answer);
        let suspects = self.others.values().filter(|one| one.word.standing == Standing::Suspect);
        let deaths = suspects.map(|one| one.since + self.patience());
        deaths.chain([help, self.next]).fold(self.next, Duration::min)
    }

    /// How long a suspect has.
    pub fn patience(&self) -> Duration {
        self.pace.period.mul_f64(self.pace.patience * self.logarithm())
    }

    fn logarithm(&self) -> f64 {
        ((self.others.len() + 1) as f64).log2().max(1.0)
    }

    fn settle(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next);
        if late > self.pace.period {
            // What was not heard while nothing was done here is nobody's fault: all get their time anew.
            // Harm: a governor that is always late finds no dead one.
            self.asking = None;
            self.next = now;
            for member in self.others.values_mut().filter(|one| one.word.standing == Standing::Suspect) {
                member.since = member.since.max(now.saturating_sub(self.pace.period));
            }
            self.out.push_back(Out::Stalled(late));
        }
        if let Some(asking) = self.asking.clone().filter(|asking| !asking.helped)
            && now >= asking.since + self.pace.answer
        {
            for helper in self.helpers(&asking) {
                let body = Body::PingFor { number: asking.number, target: asking.target.clone() };
                self.say(&helper, body);
            }
            self.asking = Some(Asking { helped: true, ..asking });
        }
        let patience = self.patience();
        let dead = |one: &&Member| one.word.standing == Standing::Suspect && now >= one.since + patience;
        let dead: Vec<Word> = self.others.values().filter(dead).map(|one| one.word.clone()).collect();
        for word in dead {
            self.take(now, &Word { standing: Standing::Dead, ..word });
        }
        if now >= self.next {
            self.next = now + self.pace.period;
            self.periods += 1;
            if let Some(asking) = self.asking.take() {
                let word = self.others.get(&asking.target).map(|one| one.word.clone());
                if let Some(word) = word.filter(|word| word.standing == Standing::Alive) {
                    self.take(now, &Word { standing: Standing::Suspect, ..word });
                }
            }
            self.others.retain(|_, one| one.stated || one.is_there() || now < one.since + FORGET);
            self.ask(now);
        }
    }

    fn ask(&mut self, now: Duration) {
        if self.periods.is_multiple_of(REVIVE) {
            let gone: Vec<String> =
                self.others.values().filter(|one| !one.is_there()).map(|one| one.word.name.clone()).collect();
            if let Some(name) = gone.get(self.chance(1, gone.len())) {
                self.numbers += 1;
                self.say(&name.clone(), Body::Ping { number: self.numbers });
            }
        }
        if self.round.is_empty() {
            let there = self.others.values().filter(|one| one.is_there());
            let mut names: Vec<String> = there.map(|one| one.word.name.clone()).collect();
            for place in (1..names.len()).rev() {
                names.swap(place, self.chance(place as u64 + 2, place + 1));
            }
            self.round = names;
        }
        while let Some(target) = self.round.pop() {
            if self.others.get(&target).is_some_and(Member::is_there) {
                self.numbers += 1;
                let number = self.numbers;
                self.say(&target, Body::Ping { number });
                self.asking = Some(Asking { target, number, helped: false, since: now });
                break;
            }
        }
    }

    fn helpers(&self, asking: &Asking) -> Vec<String> {
        let able = self.others.values().filter(|one| one.is_there() && one.word.name != asking.target);
        let mut able: Vec<String> = able.map(|one| one.word.name.clone()).collect();
        let mut chosen = Vec::new();
        while chosen.len() < self.pace.helpers && !able.is_empty() {
            chosen.push(able.swap_remove(self.chance(asking.number << 8 | able.len() as u64, able.len())));
        }
        chosen
    }

    /// A number below `most`, by this governor's name and how far it is.
    fn chance(&self, which: u64, most: usize) -> usize {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.periods, which).hash(&mut hasher);
        (hasher.finish() % most.max(1) as u64) as usize
    }

    // ---- words

    /// Takes a word in, if it is newer than what is known.
    fn take(&mut self, now: Duration, word: &Word) {
        if word.name == self.me.name {
            // Spoken ill of, or taken for an older life: it says otherwise, above all that was said.
            let ill = word.standing != Standing::Alive && word.incarnation >= self.me.incarnation;
            if (ill || word.incarnation > self.me.incarnation) && self.me.standing == Standing::Alive {
                self.me.incarnation = word.incarnation.saturating_add(1);
            }
            return;
        }
        let Some(known) = self.others.get_mut(&word.name) else {
            if self.others.len() < MOST && word.standing <= Standing::Suspect {
                let member = Member { word: word.clone(), since: now, heard: None, stated: false };
                self.others.insert(word.name.clone(), member);
                self.spread(&word.name, word.standing);
            }
            return;
        };
        let order = |one: &Word| (one.incarnation, one.standing, one.figures.turn);
        if order(word) <= order(&known.word) {
            // Its figures may be newer though its standing is not.
            if word.incarnation == known.word.incarnation && word.figures.turn > known.word.figures.turn {
                known.word.figures = word.figures;
                self.sent.insert(word.name.clone(), 0);
            }
            return;
        }
        let stands = known.word.standing != word.standing;
        let at = if known.stated { known.word.at } else { word.at };
        let newer = word.incarnation > known.word.incarnation || word.figures.turn >= known.word.figures.turn;
        let figures = if newer { word.figures } else { known.word.figures };
        known.word = Word { at, figures, ..word.clone() };
        if stands {
            known.since = now;
            self.spread(&word.name, word.standing);
        } else {
            self.sent.insert(word.name.clone(), 0);
        }
    }

    fn spread(&mut self, name: &str, standing: Standing) {
        self.sent.insert(name.to_string(), 0);
        self.out.push_back(Out::Stands(name.to_string(), standing));
    }

    /// Words that travel with a message: first what is not well said of the receiver, then what was sent
    /// least often.
    fn words_for(&mut self, to: &str, mut room: usize) -> Vec<Word> {
        let most = (self.pace.repeats * self.logarithm()).ceil() as u32;
        self.sent.retain(|_, times| *times < most);
        let mut words = Vec::new();
        let ill = self
            .others
            .get(to)
            .filter(|one| one.word.standing != Standing::Alive && one.word.incarnation > 0);
        if let Some(one) = ill.filter(|_| room > 0) {
            room = room.saturating_sub(length(&one.word));
            words.push(one.word.clone());
        }
        let order: BTreeSet<(u32, String)> =
            self.sent.iter().map(|(name, times)| (*times, name.clone())).collect();
        for (_, name) in order {
            // This governor's own word is at the head of every message.
            let word = self.others.get(&name).map(|one| one.word.clone());
            let Some(word) = word.filter(|word| word.name != to) else { continue };
            let long = length(&word);
            if long > room {
                break;
            }
            room -= long;
            *self.sent.entry(name).or_default() += 1;
            words.push(word);
        }
        words
    }
}
