//! A partner without a limit is shut for nine seconds. Each sender is refused there many times. The partner returns
//! cold, and a clump of messages comes for it.
use crate::customer::Outage;
use crate::ebene::{Deployment, GUEST_STATUS, RSVP_FORWARD};
use crate::{Run, Verdict};
use std::thread::sleep;
use std::time::Duration;

pub fn run(run: Run) -> Result<Verdict, String> {
    let deployment = Deployment::start(&run, "venue-systems", 100)?;
    deployment.begin_other_traffic();
    sleep(Duration::from_secs(2));
    let length = Duration::from_secs(9);
    if run.trouble {
        deployment.partner.begin_outage(Outage::Shut(length));
    }
    sleep(Duration::from_secs(4));
    deployment.submit("during", 6, GUEST_STATUS);
    sleep(length - Duration::from_secs(4));
    if run.trouble {
        deployment.partner.end_outage();
    }
    sleep(Duration::from_millis(300));
    // As many as the partner takes in 2.9 s.
    deployment.submit("clump", 29, RSVP_FORWARD);
    sleep(Duration::from_secs(6));
    deployment.judge()
}
