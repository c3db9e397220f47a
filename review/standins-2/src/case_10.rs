//! Most calls to a partner fail for nine seconds. Each sender of a quiet deployment sees three calls fail in a row, is
//! killed two seconds later and started again. The partner returns cold, and a clump of messages comes for it.
use crate::customer::Outage;
use crate::ebene::{Deployment, RSVP_FORWARD, TICKET_CHARGE};
use crate::{Run, Verdict};
use std::thread::sleep;
use std::time::Duration;

pub fn run(run: Run) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(&run, "host-hooks", 4)?;
    sleep(Duration::from_secs(2));
    if run.trouble {
        deployment.partner.begin_outage(Outage::Failing);
    }
    sleep(Duration::from_secs(1));
    deployment.submit("during", 9, TICKET_CHARGE);
    sleep(Duration::from_secs(2));
    // `KILL=0`: only the outage.
    if run.trouble && std::env::var("KILL").map_or(true, |value| value != "0") {
        run.record.note("all senders are killed");
        deployment.kill_and_restart()?;
        run.record.note("all senders are ready again");
    }
    deployment.begin_other_traffic();
    sleep(Duration::from_secs(5));
    if run.trouble {
        deployment.partner.end_outage();
    }
    sleep(Duration::from_millis(300));
    // As many as the partner takes in 2.9 s.
    deployment.submit("clump", 29, RSVP_FORWARD);
    sleep(Duration::from_secs(9));
    deployment.judge()
}
