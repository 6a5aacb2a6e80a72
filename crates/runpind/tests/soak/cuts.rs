//! Cuts between instances and all backend servers, and proxies in front of these that know which
//! instance holds a connection.

use crate::proxy::{Link, forward};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

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
    ) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = Rc::new(Self { address, link: watch::Sender::default() });
        let link = proxy.link.subscribe();
        tokio::task::spawn_local(async move {
            while let Ok((near, peer)) = listener.accept().await {
                let processes: Vec<u32> = paths.iter().map(|path| path.process.get()).collect();
                // Looking up takes long, and must not hold up callers, servers and the store.
                let looking_up =
                    tokio::task::spawn_blocking(move || owner(peer.port(), &processes));
                // Without an owner, the process that opened it has ended or closed it already.
                if let Ok(Some(number)) = looking_up.await {
                    let cut = paths[number].cut.subscribe();
                    tokio::task::spawn_local(serve(near, target, link.clone(), cut));
                }
            }
        });
        Ok(proxy)
    }

    /// Changes the condition of the link of all instances.
    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// Forwards a connection under the condition of the server's link and the cut of its instance.
async fn serve(
    near: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<Link>,
    mut cut: watch::Receiver<Cut>,
) {
    let is_new = matches!(*cut.borrow(), Cut::NewReset | Cut::NewResetOnRequest);
    let current = watch::Sender::new(Link::Open);
    let update = |link: Link, cut: Cut, current: &watch::Sender<Link>| {
        let effective = if link == Link::Open { cut.link(is_new) } else { link };
        current.send_if_modified(|value| std::mem::replace(value, effective) != effective);
    };
    update(*link.borrow_and_update(), *cut.borrow_and_update(), &current);
    let forwarding = forward(near, target, current.subscribe());
    tokio::pin!(forwarding);
    loop {
        tokio::select! {
            () = &mut forwarding => return,
            changed = link.changed() => if changed.is_err() { return },
            changed = cut.changed() => if changed.is_err() { return },
        }
        let (link, cut) = (*link.borrow_and_update(), *cut.borrow_and_update());
        update(link, cut, &current);
    }
}

/// The position of the process that holds the other end of a connection from a local port.
fn owner(port: u16, processes: &[u32]) -> Option<usize> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let local = format!(":{port:04X}");
    let socket = table.lines().skip(1).find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (address, inode) = (fields.get(1)?, fields.get(9)?);
        (address.ends_with(&local) && *inode != "0").then(|| format!("socket:[{inode}]"))
    })?;
    processes.iter().position(|process| {
        let files = std::fs::read_dir(format!("/proc/{process}/fd"));
        files.into_iter().flatten().flatten().any(|file| {
            std::fs::read_link(file.path()).is_ok_and(|target| target.to_string_lossy() == socket)
        })
    })
}
