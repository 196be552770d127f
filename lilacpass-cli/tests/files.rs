//! Tests of the commands that work offline on files.

mod support;

use lilacpass_cli::commands::import;
use lilacpass_config::{access, inventory};
use lilacpass_schema::v1;
use support::{lilacpass, lilacpass_with};

const SETTINGS: &str = r#"[instance]
name = "entry-a1"
data_centre = "hal-a"
http_address = "127.0.0.1:7070"
peer_address = "127.0.0.1:7071"

[platform]
log_addresses = ["127.0.0.1:7000"]
instance_list_addresses = ["127.0.0.1:7001"]

[holding]
lease_ms = 3000
"#;

#[test]
fn invalid_settings_are_reported_with_line_field_unit_and_range() {
    let run = lilacpass_with(&[], "check -", SETTINGS, &[]);
    assert_eq!((run.code, run.stdout.as_str()), (0, "-: good\n"), "{run:?}");
    let bad = SETTINGS.replace("lease_ms = 3000", "lease_ms = 1");
    let run = lilacpass_with(&[], "check --settings -", &bad, &[]);
    assert_eq!(run.code, 2);
    let texts = ["-:12:", "holding.lease_ms", "= 1", " ms", " to "];
    texts.iter().for_each(|text| assert!(run.stdout.contains(text), "{text}: {run:?}"));
    let run = lilacpass_with(&[], "check - --output json", &bad, &[]);
    let problem = &run.json()[0]["problems"][0];
    assert_eq!((&problem["line"], &problem["unit"]), (&12.into(), &"ms".into()));
    let unknown = format!("{SETTINGS}lease_mss = 3\n");
    let run = lilacpass_with(&[], "check -", &unknown, &[]);
    assert!(run.code == 2 && run.stdout.contains("lease_mss"), "{run:?}");
}

#[test]
fn an_invalid_configuration_is_refused_before_any_request_is_sent() {
    let bad = "[[workers]]\nname = \"w1\"\ndata_centre = \"nowhere\"\n";
    let run = lilacpass_with(&[], "check --inventory -", bad, &[]);
    assert!(run.code == 2 && run.stdout.contains("-:3:"), "{run:?}");
    let run = lilacpass_with(&[&support::unused_url()], "apply -", bad, &[]);
    assert!(run.code == 2 && run.stderr.contains("\n-:3:"), "{run:?}");
    assert_eq!(lilacpass(&[], "check no/such/file.toml").code, 2);
}

#[test]
fn a_new_token_matches_its_entry() {
    let run = lilacpass(&[], "token new desk-1 --role team --team desks --expires-in 1d -o json");
    let made = run.json();
    let entry: v1::AccessToken = serde_json::from_value(made["entry"].clone()).unwrap();
    let token = made["token"].as_str().unwrap();
    assert!(!entry.hash.contains(token));
    let tokens = [entry];
    let known = access::verify(&tokens, token, 1_000_000_000).unwrap();
    assert_eq!((known.name.as_str(), known.team.as_str()), ("desk-1", "desks"));
    assert!(access::verify(&tokens, token, known.expires_unix_s).is_err());
    assert_eq!(lilacpass(&[], "token new desk-1 --role team").code, 2);
    assert_eq!(lilacpass(&[], "token new ann --role operator --team desks").code, 2);
    let run = lilacpass(&[], "token new ann --role operator");
    assert!(run.stdout.contains("[[tokens]]") && run.stdout.contains("lilac_ann_"), "{run:?}");
}

#[test]
fn completions_contain_the_commands() {
    let run = lilacpass(&[], "completions bash");
    let commands = ["submit", "wait", "import-csv", "audit", "drain"];
    commands.iter().for_each(|name| assert!(run.stdout.contains(name), "{name}"));
}

const REGISTER: &str = "\
name,data_centre,rack,address,cores,memory_gib,accelerators,slots,connections
w1,hal-a,r1,192.0.2.1:7100,64,256,0,8,64
w2,hal-b,r1,192.0.2.2:7100,64,256,2,8,64
";

#[test]
fn an_imported_register_is_a_valid_configuration() {
    let run = lilacpass_with(&[], "import-csv - --region nl-midden", REGISTER, &[]);
    assert_eq!(run.code, 0, "{run:?}");
    let imported = inventory::parse(&run.stdout).unwrap();
    assert_eq!((imported.workers.len(), imported.data_centres.len()), (2, 2));
    assert_eq!(imported.data_centres[0].region, "nl-midden");
    assert_eq!(lilacpass_with(&[], "check -", &run.stdout, &[]).code, 0);
    let with_team = format!("{}[[teams]]\nname = \"shops\"\n", run.stdout);
    assert_eq!(inventory::parse(&with_team).unwrap().teams.len(), 1);
    let bad = REGISTER.replace(",64,256,2", ",many,256,2");
    let run = lilacpass_with(&[], "import-csv -", &bad, &[]);
    assert!(run.code == 2 && run.stderr.contains("-:3: cores"), "{run:?}");
}

/// A worker is draining for a repair when the asset register is imported. The register does not contain the draining
/// state, so the import must keep it; otherwise the worker would accept new work again.
#[test]
fn an_import_keeps_draining_workers_and_entries_missing_from_the_register() {
    let mut base = v1::Configuration::default();
    base.teams.push(v1::Team { name: "shops".to_owned(), ..Default::default() });
    let worker = |name: &str, draining| v1::WorkerSpec {
        name: name.to_owned(),
        data_centre: "hal-a".to_owned(),
        draining,
        ..Default::default()
    };
    base.workers = vec![worker("w1", true), worker("w9", false)];
    let register = vec![v1::WorkerSpec { slots: 4, ..worker("w1", false) }, worker("w2", false)];
    let merged = import::import(&base, register, "");
    let workers: Vec<_> = merged.workers.iter().map(|w| (w.name.as_str(), w.slots)).collect();
    assert_eq!(workers, [("w1", 4), ("w9", 0), ("w2", 0)]);
    assert!(merged.workers[0].draining);
    assert_eq!((merged.teams, merged.data_centres.len()), (base.teams, 1));
}
