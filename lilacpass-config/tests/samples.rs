//! Parsing the sample files, mangled samples and arbitrary text.

use lilacpass_config::{inventory, settings};

/// Maximum length of an arbitrary text, in bytes.
const MAX_BYTES: usize = 200;
/// Maximum number of lines in a mangled sample.
const MAX_LINES: usize = 200;

/// Reads a file of the `examples` directory.
fn sample(name: &str) -> String {
    let path = format!("{}/../examples/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("sample file")
}

#[test]
fn the_sample_settings_are_accepted() {
    for name in ["vindbaar-entry", "swanfield-entry"] {
        let settings = settings::parse(&sample(name)).expect(name);
        assert!(settings.instance.peer_key.is_some());
        assert!(!settings.instance.peer_address.ip().is_loopback());
    }
}

#[test]
fn the_sample_inventories_have_the_sizes_of_the_deployments() {
    for (name, cores, memory_gib) in [("vindbaar", 64, 256), ("swanfield", 32, 128)] {
        let configuration = inventory::parse(&sample(name)).expect(name);
        assert_eq!(configuration.data_centres.len(), 3);
        assert_eq!(configuration.workers.len(), 48);
        for worker in &configuration.workers {
            assert_eq!((worker.cpu_milli, worker.memory_mib), (cores * 1_000, memory_gib * 1_024));
            assert_eq!((worker.slots, worker.connections), (8, 64));
            let in_rack = configuration.workers.iter().filter(|w| w.rack == worker.rack).count();
            assert_eq!(in_rack, 8);
        }
        assert!(configuration.standing.iter().all(|s| s.spec.as_ref().is_some_and(|s| s.standing)));
        assert!(configuration.workers.iter().any(|w| w.accelerators > 0));
        assert_eq!(inventory::parse(&inventory::to_toml(&configuration)).unwrap(), configuration);
    }
}

#[test]
fn arbitrary_text_never_panics() {
    lilacpass_fuzz::check_bytes(5_000, MAX_BYTES, |bytes| {
        let text = String::from_utf8_lossy(bytes);
        let text = text.as_ref();
        let _ = settings::parse(text);
        let _ = inventory::parse(text);
        let _ = inventory::parse_csv(text);
    });
}

/// Mixes truncated lines of valid files, which reaches more code than arbitrary text does.
#[test]
fn mangled_samples_never_panic_and_show_a_line() {
    let texts = ["vindbaar-entry", "swanfield-entry", "vindbaar"].map(sample);
    let lines: Vec<&str> = texts.iter().flat_map(|text| text.lines().take(80)).collect();
    lilacpass_fuzz::check_lists::<(u8, u8)>(2_000, 0..=MAX_LINES, |picks| {
        let mut text = String::new();
        for (line, cut) in picks {
            let line = lines[usize::from(*line) % lines.len()];
            let cut = usize::from(*cut).min(line.len());
            text.push_str(&line[..cut]);
            text.push('\n');
        }
        let problems = [
            settings::parse(&text).err().unwrap_or_default(),
            inventory::parse(&text).err().unwrap_or_default(),
        ];
        let last_line = text.lines().count() + 1;
        for problem in problems.iter().flatten() {
            assert!((1..=last_line).contains(&problem.line), "{problem:?}\n{text}");
            assert!(problem.column >= 1, "{problem:?}\n{text}");
        }
    });
}
