//! After a quiet time a partner takes calls and answers none for nine seconds. Each sender sees one call fail there.
//! The partner returns cold, and a clump of messages comes for it.
use crate::customer::Outage;
use crate::ebene::{Deployment, GUEST_STATUS, RSVP_FORWARD};
use crate::{Run, Verdict};
use std::thread::sleep;
use std::time::Duration;

pub fn run(run: Run) -> Result<Verdict, String> {
    let deployment = Deployment::start(&run, "host-hooks", 4)?;
    deployment.begin_other_traffic();
    sleep(Duration::from_secs(2));
    if run.trouble {
        deployment.partner.begin_outage(Outage::Silent);
    }
    sleep(Duration::from_secs(1));
    deployment.submit("quiet", 3, GUEST_STATUS);
    sleep(Duration::from_secs(8));
    if run.trouble {
        deployment.partner.end_outage();
    }
    sleep(Duration::from_millis(300));
    // As many as the partner takes in 2.9 s.
    deployment.submit("clump", 29, RSVP_FORWARD);
    sleep(Duration::from_secs(6));
    deployment.judge()
}
