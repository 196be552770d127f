//! Importing workers from the CSV export of an asset register.

use lilacpass_config::inventory;

const HEADER: &str =
    "name,data_centre,rack,address,cores,memory_gib,accelerators,slots,connections";

/// Returns the problems that parsing the text reports.
fn problems_in(text: &str) -> Vec<String> {
    inventory::parse_csv(text).expect_err("refused").iter().map(ToString::to_string).collect()
}

#[test]
fn workers_come_from_csv_with_units_converted_and_columns_in_any_order() {
    let text = format!("{HEADER}\nw1,hal-a,r1,192.0.2.1:7100,64,256,2,8,64\n");
    let workers = inventory::parse_csv(&text).unwrap();
    assert_eq!(workers.len(), 1);
    assert_eq!((workers[0].cpu_milli, workers[0].memory_mib), (64_000, 262_144));
    assert_eq!((workers[0].accelerators, workers[0].slots, workers[0].connections), (2, 8, 64));
    let text = "slots,connections,name,data_centre,rack,address,cores,memory_gib,accelerators\n\
                8, 64, w1, hal-a, r1,\"192.0.2.1:7100\", 64, 256, 2\n";
    assert_eq!(inventory::parse_csv(text).unwrap(), workers);
    // Spreadsheet programs write a byte order mark and CRLF line endings.
    let exported = format!("\u{feff}{}", text.replace('\n', "\r\n"));
    assert_eq!(inventory::parse_csv(&exported).unwrap(), workers);
}

#[test]
fn a_bad_header_is_refused_with_the_nearest_column() {
    assert_eq!(
        problems_in(&HEADER.replace("cores", "core")),
        ["line 1: core: unknown column; did you mean `cores`?", "line 1: cores: column is missing"]
    );
    assert_eq!(problems_in("").len(), 9);
    assert_eq!(problems_in(&format!("{HEADER},name")), ["line 1: name: stands twice"]);
}

#[test]
fn bad_rows_are_refused_all_at_once_with_their_lines() {
    let text = format!(
        "{HEADER}\n\
         w1,hal-a,r1,192.0.2.1:7100,many,256,2,8,64\n\
         w1,hal-a,r1,192.0.2.2:7100,64,256,2,8,64\n\
         w3,hal-a,r1,192.0.2.3:7100,64,256,2,8\n\
         w4,hal-a,r1,192.0.2.2:7100,64,256,2,8,64\n\
         w5,hal a,r1,192.0.2.5:7100,64,256,2,8,0\n"
    );
    assert_eq!(
        problems_in(&text),
        [
            "line 2: cores = \"many\": must be a whole number",
            "line 3: workers[w1].name = w1: is there already",
            "line 4: has 8 values, the header has 9",
            "line 5: workers[w4].address = 192.0.2.2:7100: is the address of `w1` too",
            "line 6: workers[w5].connections = 0: must be 1 to 65536",
        ]
    );
}
