//! The files of a scenario's nodes: keys, settings and configuration.

use super::FaultScenario;
use crate::program;
use crate::scenario::{KeyedLimit, Scenario};
use std::io;
use std::path::PathBuf;

impl FaultScenario {
    /// Writes a file with a unique name into the directory of the scenario's files, and returns its
    /// path.
    pub(super) fn write_file(&mut self, extension: &str, text: &str) -> io::Result<PathBuf> {
        self.file_count += 1;
        let name = format!(
            "rig-{}-{}-{}.{extension}",
            std::process::id(),
            self.nodes[0].bind.ip(),
            self.file_count
        );
        let path = self.setup.dir.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }

    /// Returns the configuration of node `n` under the given name.
    pub(super) fn node_config(&self, n: usize, name: &str) -> String {
        let node = &self.nodes[n];
        let config = program::node_config(
            node.executor_proxy.address,
            node.backend_proxy.address,
            node.registry_proxy.address,
            1024,
        );
        let config = config.replace("\"n3\"", &format!("\"{name}\""));
        if self.script.small.contains(&node.place.name) {
            config.replace("\"memory_mb\": 192", "\"memory_mb\": 32")
        } else {
            config
        }
    }

    /// Returns the voters, cluster-wide budgets and services of the nodes' settings.
    pub(super) fn shared_settings(&self) -> String {
        let Scenario {
            calls_a_second,
            max_calls_in_flight,
            retries_a_second,
            floor,
            backend,
            keys,
            ..
        } = &self.script;
        let mut text = String::new();
        if calls_a_second + max_calls_in_flight + retries_a_second > 0
            || keys.count > 0
            || backend.judged
        {
            text += "<arbiter name=\"n0\"/><arbiter name=\"n1\"/><arbiter name=\"n2\"/>";
        }
        let most = self.nodes.len();
        let mut budget = |name: &str, limit: u32, kind: &str, more: &str| {
            if limit > 0 {
                text += &format!(
                    "<calls-budget name=\"{name}\" {kind}=\"{limit}\" floor=\"{floor}\" nodes-most=\"{most}\" {more}/>"
                );
            }
        };
        budget("below", *calls_a_second, "a-second", "");
        budget(
            "hands",
            *max_calls_in_flight,
            "in-hand",
            "longest=\"1500ms\"",
        );
        budget("repeats", *retries_a_second, "a-second", "of=\"repeats\"");
        if backend.judged {
            text += "<service name=\"below\" slow=\"700ms\"/>";
        }
        text
    }

    /// Returns the rules with the bucket of the keyed quota; empty if the scenario has no keyed
    /// quota.
    pub(super) fn rules(&self) -> String {
        let KeyedLimit {
            count,
            a_second,
            burst,
            max_in_flight,
            floor,
        } = self.script.keys;
        if count == 0 {
            return String::new();
        }
        let most = self.nodes.len();
        let rate = if a_second > 0 {
            format!(" rate=\"{a_second}/s\" burst=\"{burst}\"")
        } else {
            String::new()
        };
        let concurrency = if max_in_flight > 0 {
            format!(" in-hand=\"{max_in_flight}\" longest=\"1500ms\"")
        } else {
            String::new()
        };
        format!(
            "<rules><parameter name=\"HTTP_X_KEY\" most=\"64B\"/><bucket name=\"by-key\"{rate}{concurrency} scope=\"fleet\" \
             floor=\"{floor}\" nodes-most=\"{most}\"/><rule name=\"all\"><when>true</when><give>\
             <limit bucket=\"by-key\">params.HTTP_X_KEY</limit></give></rule></rules>"
        )
    }
}
