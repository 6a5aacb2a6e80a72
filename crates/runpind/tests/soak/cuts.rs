//! Cuts between instances and all backend servers, and proxies in front of these that know which
//! instance holds a connection.

use crate::proxy::{Link, forward};
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};

/// How an instance is cut off from all backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Cut {
    /// It is not.
    #[default]
    None,
    /// Its connections hang, new ones too.
    Hang,
    /// Its connections are reset, new ones too.
    Reset,
    /// Its open connections live on, new ones are reset.
    NewReset,
    /// Its open connections live on, new ones are accepted and reset with the first request.
    NewResetOnRequest,
}

impl Cut {
    fn link(self, is_new: bool) -> Link {
        match self {
            Self::Hang => Link::Silent,
            Self::Reset => Link::Reset,
            Self::NewReset if is_new => Link::Reset,
            Self::NewResetOnRequest if is_new => Link::ResetOnRequest,
            Self::None | Self::NewReset | Self::NewResetOnRequest => Link::Open,
        }
    }
}

/// The paths of one instance to all backend servers.
#[derive(Debug, Default)]
pub(crate) struct InstancePaths {
    /// Process ID of the instance.
    pub(crate) process: Cell<u32>,
    cut: watch::Sender<Cut>,
}

impl InstancePaths {
    /// Returns whether the instance is cut off.
    pub(crate) fn is_cut(&self) -> bool {
        *self.cut.borrow() != Cut::None
    }

    /// Changes how the instance is cut off.
    pub(crate) fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }
}

/// A cut that has ended.
#[derive(Clone, Debug)]
pub(crate) struct EndedCut {
    pub(crate) instances: Vec<usize>,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
}

/// A proxy on a free port in front of a backend server.
pub(crate) struct ServerProxy {
    pub(crate) address: SocketAddr,
    link: watch::Sender<Link>,
}

impl ServerProxy {
    /// Starts a proxy in front of `target` on the current local set.
    pub(crate) async fn start(
        target: SocketAddr,
        paths: Vec<Rc<InstancePaths>>,
        owners: Rc<Owners>,
    ) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = Rc::new(Self { address, link: watch::Sender::default() });
        let link = proxy.link.subscribe();
        tokio::task::spawn_local(async move {
            while let Ok((near, peer)) = listener.accept().await {
                let owner = Owner {
                    ports: (peer.port(), address.port()),
                    accepted_at: Instant::now(),
                    paths: paths.clone(),
                    owners: owners.clone(),
                    number: None,
                };
                tokio::task::spawn_local(serve(near, target, link.clone(), owner));
            }
        });
        Ok(proxy)
    }

    /// Changes the condition of the link of all instances.
    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// The instance that holds the other end of a connection. It is looked up only while some instance is
/// cut off, as this takes long.
struct Owner {
    ports: Ports,
    accepted_at: Instant,
    /// Paths of all instances.
    paths: Vec<Rc<InstancePaths>>,
    owners: Rc<Owners>,
    /// Position of the instance, once it was looked up.
    number: Option<usize>,
}

impl Owner {
    /// How its instance is cut off.
    ///
    /// # Errors
    ///
    /// Fails if the process that opened the connection has ended or closed it already.
    async fn cut(&mut self) -> Result<Cut, OwnerGone> {
        if self.number.is_none() && self.paths.iter().any(|paths| paths.is_cut()) {
            let owners = self.owners.table(self.accepted_at, &self.paths).await;
            self.number = Some(*owners.get(&self.ports).ok_or(OwnerGone)?);
        }
        Ok(self.number.map_or(Cut::None, |number| *self.paths[number].cut.borrow()))
    }

    /// Waits until any instance is cut off in another way.
    async fn changed(receivers: &mut [watch::Receiver<Cut>]) {
        let changes = receivers.iter_mut().map(|receiver| Box::pin(receiver.changed()));
        // The paths live as long as the test.
        let _ = futures::future::select_all(changes).await;
    }
}

/// Nobody holds the other end of a connection.
struct OwnerGone;

/// Forwards a connection under the condition of the server's link and the cut of its instance.
async fn serve(
    near: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<Link>,
    mut owner: Owner,
) {
    let mut cuts: Vec<_> = owner.paths.iter().map(|paths| paths.cut.subscribe()).collect();
    let Ok(cut) = owner.cut().await else { return };
    let is_new = matches!(cut, Cut::NewReset | Cut::NewResetOnRequest);
    let current = watch::Sender::new(Link::Open);
    let update = |link: Link, cut: Cut, current: &watch::Sender<Link>| {
        let effective = if link == Link::Open { cut.link(is_new) } else { link };
        current.send_if_modified(|value| std::mem::replace(value, effective) != effective);
    };
    update(*link.borrow_and_update(), cut, &current);
    let forwarding = forward(near, target, current.subscribe());
    tokio::pin!(forwarding);
    loop {
        tokio::select! {
            () = &mut forwarding => return,
            changed = link.changed() => if changed.is_err() { return },
            () = Owner::changed(&mut cuts) => {}
        }
        let Ok(cut) = owner.cut().await else { return };
        update(*link.borrow_and_update(), cut, &current);
    }
}

/// Ports of the two ends of a connection, that of the side that connects first.
type Ports = (u16, u16);

/// Positions of the instances that hold connections.
type Table = HashMap<Ports, usize>;

/// Which instance holds which connection, as of the last look-up.
#[derive(Default)]
pub(crate) struct Owners {
    last: Mutex<Option<(Instant, Rc<Table>)>>,
}

impl Owners {
    /// Positions of the instances, by connection, as of a time after `from`; one look-up serves all connections.
    async fn table(&self, from: Instant, paths: &[Rc<InstancePaths>]) -> Rc<Table> {
        let mut last = self.last.lock().await;
        if let Some((_, table)) = last.as_ref().filter(|(at, _)| *at > from) {
            return table.clone();
        }
        let at = Instant::now();
        let processes: Vec<u32> = paths.iter().map(|path| path.process.get()).collect();
        // It must not hold up callers, servers and the store.
        let looking_up = tokio::task::spawn_blocking(move || owners(&processes));
        let table = Rc::new(looking_up.await.unwrap_or_default());
        *last = Some((at, table.clone()));
        table
    }
}

/// The position of the process that holds each connection.
fn owners(processes: &[u32]) -> Table {
    let sockets = processes.iter().enumerate().flat_map(|(number, process)| {
        let files = std::fs::read_dir(format!("/proc/{process}/fd"));
        let targets = files.into_iter().flatten().flatten().filter_map(|file| {
            let target = std::fs::read_link(file.path()).ok()?;
            let inode = target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
            Some(inode.to_owned())
        });
        targets.map(move |inode| (inode, number)).collect::<Vec<_>>()
    });
    let by_inode: HashMap<String, usize> = sockets.collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let ports = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port = |field: usize| {
            let (_, port) = fields.get(field)?.split_once(':')?;
            u16::from_str_radix(port, 16).ok()
        };
        Some(((port(1)?, port(2)?), *by_inode.get(*fields.get(9)?)?))
    });
    ports.collect()
}
