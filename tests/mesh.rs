//! The exchange among gateways, in process with virtual time: what each one knows of the others
//! and of what they have at a target, and what that costs.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    time::Duration, //
};

use redwingyard::{
    mesh::{
        Mesh,
        Round,
        Scope, //
    },
    pool::{
        Ask,
        Pool,
        Seat,
        Settings, //
    },
    wire::Beacon, //
};
use rstest::rstest;

const SERVICE: u32 = 1;
const TARGET: u32 = 9;

/// The time that passes at once.
const STEP: Duration = Duration::from_millis(50);

/// The time in which all routers must know all others after a cold start.
const START: Duration = Duration::from_secs(10);

/// The datagrams of a round for each doubling of the fleet.
const DATAGRAMS: f64 = 8.0;

/// The bytes a second that a router may use for control (the aim for the fleet of 400).
const MOST_BYTES: usize = 19_000;

/// What a router sends with its figures to whom.
type Datagram = (usize, usize, Vec<u8>);

struct Router {
    ip: IpAddr,
    domain: u32,
    mesh: Mesh,
    pool: Pool,
    alive: bool,
    sent: u64,
    /// What its last round has cost, and when the next one is due.
    round: Round,
    due: Duration,
    /// When it next asks others whom they know.
    asks: Duration,
    bytes: usize,
}

struct Fleet {
    routers: Vec<Router>,
    index: BTreeMap<IpAddr, usize>,
    now: Duration,
    rng: fastrand::Rng,
    /// The part of the datagrams that is lost, and of those that come twice and late.
    noise: f64,
    late: Vec<Datagram>,
    /// Whether two routers reach each other.
    reach: fn(usize, usize) -> bool,
}

fn address(i: usize) -> IpAddr {
    IpAddr::from([10, 0, (i / 250) as u8, (i % 250) as u8 + 1])
}

impl Fleet {
    /// Starts routers at once; of three seeds two are stale.
    fn new(count: usize, domains: u32, noise: f64) -> Self {
        let seeds = vec![address(count + 1), address(0), address(count + 2)];
        let router = |i: usize| {
            let (ip, domain) = (address(i), i as u32 % domains);
            let mut pool = Pool::new(Settings::default());
            let seat = Seat {
                target: TARGET,
                service: SERVICE,
                slots: 100_000,
                ..Seat::default()
            };
            pool.seats(Duration::ZERO, vec![seat]);
            let ask = Ask {
                service: SERVICE,
                account: 7,
                deadline: Duration::from_secs(1_000),
                ..Ask::default()
            };
            pool.arrive(Duration::ZERO, ask);
            Router {
                ip,
                domain,
                mesh: Mesh::new(ip, domain, seeds.clone()),
                pool,
                alive: true,
                sent: 0,
                round: Round::default(),
                due: Duration::ZERO,
                asks: Duration::ZERO,
                bytes: 0,
            }
        };
        let routers: Vec<_> = (0..count).map(router).collect();
        let index = routers.iter().enumerate();
        Self {
            index: index.map(|(i, router)| (router.ip, i)).collect(),
            routers,
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(7),
            noise,
            late: Vec::new(),
            reach: |_, _| true,
        }
    }

    /// Lets every router whose round is due tell the others what is theirs to know, in random
    /// order.
    fn step(&mut self) {
        self.now += STEP;
        let mut order: Vec<_> = (0..self.routers.len()).collect();
        self.rng.shuffle(&mut order);
        for datagram in std::mem::take(&mut self.late) {
            self.deliver(datagram);
        }
        for i in order {
            if self.routers[i].alive && self.now >= self.routers[i].due {
                for datagram in self.tell(i) {
                    self.pass(datagram);
                }
            }
        }
    }

    /// Loses some datagrams, and delivers some twice, the second time late.
    fn pass(&mut self, datagram: Datagram) {
        if self.rng.f64() < self.noise {
            return;
        }
        if self.rng.f64() < self.noise {
            self.late.push(datagram.clone());
        }
        self.deliver(datagram);
    }

    fn tell(&mut self, i: usize) -> Vec<Datagram> {
        let (now, rng) = (self.now, &mut self.rng);
        let router = &mut self.routers[i];
        router.mesh.expire(now);
        router.pool.set_routers(router.mesh.len() + 1);
        let mesh = &router.mesh;
        router.pool.forget_all_but(|source| mesh.expects(source));
        router.pool.tick(now);
        let mut datagrams = Vec::new();
        let mut round = Round::default();
        let mut send = |beacon: &Beacon, to: &[IpAddr]| {
            let bytes = beacon.encode().expect("it can be encoded");
            round.add(bytes.len(), to.len());
            for ip in to {
                if let Some(to) = self.index.get(ip) {
                    datagrams.push((i, *to, bytes.clone()));
                }
            }
        };
        for scope in [Scope::Router, Scope::Group, Scope::Domain] {
            let (source, groups) = mesh.speaks_for(scope);
            router.sent += 1;
            let beacon = Beacon {
                domain: router.domain,
                sequence: router.sent,
                updates: mesh.rumors(now, 6, rng),
                source: Some(source),
                groups,
                loads: router.pool.loads(scope),
                usages: router.pool.standings(now, scope),
                ..Beacon::default()
            };
            send(&beacon, mesh.listeners(scope));
        }
        let asks = now >= router.asks;
        if asks {
            router.asks = now + if now < START { STEP * 10 } else { STEP * 60 };
        }
        let contacts = match asks {
            true => mesh.contacts(rng),
            false => Vec::new(),
        };
        let beacon = Beacon {
            domain: router.domain,
            wants_members: true,
            ..Beacon::default()
        };
        send(&beacon, &contacts);
        router.bytes += round.bytes;
        router.due = now + round.interval();
        router.round = round;
        datagrams
    }

    fn deliver(&mut self, (from, to, bytes): Datagram) {
        if !self.routers[to].alive || !(self.reach)(from, to) {
            return;
        }
        let beacon = Beacon::decode(&bytes).expect("a beacon");
        let (now, ip) = (self.now, self.routers[from].ip);
        let router = &mut self.routers[to];
        router.mesh.learn(now, &beacon.updates);
        router.mesh.hear(now, ip, beacon.domain, beacon.leaving);
        let counts = |source: &_| router.mesh.counts(ip, *source, beacon.groups);
        if let Some(source) = beacon.source.filter(counts) {
            let (loads, standings) = (&beacon.loads, &beacon.usages);
            router.pool.peer(now, source, loads, standings);
        }
        if beacon.wants_members {
            let answer = Beacon {
                domain: router.domain,
                updates: router.mesh.rumors(now, 1_000, &mut self.rng),
                ..Beacon::default()
            };
            let bytes = answer.encode().expect("it can be encoded");
            router.bytes += bytes.len();
            self.deliver((to, from, bytes));
        }
    }

    /// Returns how long it takes until each living router knows what all that it reaches have at
    /// the target: no more and no less.
    fn converge(&mut self, limit: Duration) -> Duration {
        let begun = self.now;
        while self.now < begun + limit {
            self.step();
            if self.is_settled() {
                return self.now - begun;
            }
        }
        let seen = |router: &Router| (router.mesh.len(), router.pool.load(TARGET).unwrap().running);
        let seen: Vec<_> = self.routers.iter().map(seen).collect();
        panic!("not settled after {limit:?}: {seen:?}");
    }

    fn is_settled(&self) -> bool {
        let living = self.routers.iter().enumerate();
        let mut living = living.filter(|(_, router)| router.alive);
        living.all(|(i, router)| {
            let others = self.routers.iter().enumerate();
            let reached = others.filter(|(j, other)| other.alive && (self.reach)(i, *j));
            let load = router.pool.load(TARGET).expect("it is known");
            load.running as usize == reached.count()
        })
    }

    /// Returns the datagrams of a round and the bytes a second of the busiest router.
    fn cost(&mut self) -> (usize, usize) {
        for router in &mut self.routers {
            router.bytes = 0;
        }
        let seconds = 5;
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.step();
        }
        let bytes = self.routers.iter().map(|router| router.bytes).max();
        let datagrams = self.routers.iter().map(|router| router.round.datagrams);
        let bytes = bytes.unwrap_or(0) / seconds as usize;
        (datagrams.max().unwrap_or(0), bytes)
    }
}

struct Size {
    routers: usize,
    domains: u32,
}

#[rstest]
#[case::of_today(Size { routers: 4, domains: 3 })]
#[case::grown(Size { routers: 30, domains: 3 })]
#[case::large(Size { routers: 103, domains: 5 })]
#[case::aim(Size { routers: 400, domains: 10 })]
fn a_fleet_is_known_soon_and_cheaply(#[case] size: Size) {
    let mut fleet = Fleet::new(size.routers, size.domains, 0.01);
    let known = fleet.converge(START);
    let (datagrams, bytes) = fleet.cost();
    println!(
        "routers={} known={known:?} datagrams={datagrams} bytes_s={bytes}",
        size.routers
    );
    let most = DATAGRAMS * (size.routers as f64).log2();
    assert!(datagrams as f64 <= most, "{datagrams}");
    assert!(bytes <= MOST_BYTES, "{bytes}");
}

/// The load: a tenth of the routers are killed, and later start again.
#[test]
fn routers_that_were_killed_are_missed_and_found_again() {
    let mut fleet = Fleet::new(60, 3, 0.0);
    fleet.converge(START);
    let set = |fleet: &mut Fleet, alive| {
        for i in (0..60).step_by(10) {
            fleet.routers[i].alive = alive;
        }
    };
    set(&mut fleet, false);
    let missed = fleet.converge(START);
    set(&mut fleet, true);
    let found = fleet.converge(START);
    println!("missed={missed:?} found={found:?}");
}

/// The load: a failure domain loses the others for a while, and returns.
#[test]
fn a_partition_heals() {
    let mut fleet = Fleet::new(60, 3, 0.01);
    fleet.converge(START);
    fleet.reach = |a, b| (a % 3 == 0) == (b % 3 == 0);
    fleet.converge(START);
    // Nothing of the others is known any more.
    for _ in 0..400 {
        fleet.step();
    }
    assert_eq!(fleet.routers[0].mesh.len(), 19);
    fleet.reach = |_, _| true;
    let healed = fleet.converge(START);
    println!("healed={healed:?}");
}

/// The load: datagrams are lost, doubled and late. Nothing is ever counted twice.
#[test]
fn figures_count_once() {
    let mut fleet = Fleet::new(30, 3, 0.05);
    fleet.converge(START);
    for _ in 0..200 {
        fleet.step();
        let loads = fleet.routers.iter().map(|router| router.pool.load(TARGET));
        let most = loads.flatten().map(|load| load.running).max();
        assert!(most.is_some_and(|most| most <= 30), "{most:?}");
    }
}
