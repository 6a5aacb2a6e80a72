//! Callers that send at a rate, whether earlier requests were answered or not.

use crate::callers::{Behavior, Connection};
use crate::fleet::Fleet;
use crate::history::{Class, History};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::interval;

/// Time between two rounds of requests.
const ROUND: Duration = Duration::from_millis(10);

/// Fraction of the exchanges that send requests ahead.
const SENT_AHEAD: f64 = 0.05;

/// Idle connections of all callers.
type Idle = Rc<RefCell<Vec<Connection>>>;

/// Requests per second, the instances that they are sent to, their classes, and what is drawn from.
pub(crate) struct Load {
    pub(crate) instances: Vec<usize>,
    pub(crate) per_s: f64,
    pub(crate) classes: &'static [Class],
    pub(crate) seed: u64,
}

/// Sends requests from now until a time.
pub(crate) async fn run(fleet: &Rc<Fleet>, history: &Rc<History>, load: Load, until: Instant) {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let idle = Idle::default();
    let mut rounds = interval(ROUND);
    let mut due = 0.0;
    while Instant::now() < until {
        rounds.tick().await;
        due += load.per_s * ROUND.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let caller = StdRng::seed_from_u64(rng.random());
            let instance = *load.instances.choose(&mut rng).expect("there are instances");
            let (fleet, history) = (fleet.clone(), history.clone());
            let target = (instance, load.classes);
            spawn_local(exchange(fleet, history, caller, idle.clone(), target));
        }
    }
}

/// Sends a request, at times a few, over an idle connection to an instance or a new one.
async fn exchange(
    fleet: Rc<Fleet>,
    history: Rc<History>,
    mut rng: StdRng,
    idle: Idle,
    (instance, classes): (usize, &'static [Class]),
) {
    let position = idle.borrow().iter().rposition(|idle| idle.instance() == instance);
    let connection = match position.map(|position| idle.borrow_mut().swap_remove(position)) {
        Some(connection) => Some(connection),
        None => Connection::open(&fleet, &history, (instance, true), classes).await,
    };
    let Some(mut connection) = connection else { return };
    let is_ahead = rng.random_bool(SENT_AHEAD);
    let behavior = if is_ahead { Behavior::SendAhead(2) } else { Behavior::Wait };
    if connection.exchange(&behavior, &mut rng).await {
        idle.borrow_mut().push(connection);
    }
}
