//! Table groups, splitting, and inlining of parameters.

use marljunction_core::statement::{split, table_group, Param, Statement};
use rstest::rstest;

#[rstest]
#[case("select * from sales_17.orders", Some(17))]
#[case("insert into SALES_4 . orders select 1", Some(4))]
#[case("select 'a_1.b', $$c_2.d$$, E'\\'e_3.f' -- g_4.h\n from /* i_5.j /* k_6.l */ */ m_7.n", Some(7))]
#[case("select * from staging.x join \"quoted_8\".y on true", Some(8))]
#[case("select a.b from staging.c", None)]
#[case("select 'it''s x_1.y'", None)]
fn the_table_group_is_the_number_of_the_first_schema(#[case] text: &str, #[case] group: Option<u64>) {
    assert_eq!(table_group(text.as_bytes()), group);
}

#[rstest]
#[case("select 1;", 1)]
#[case("select ';'; -- ;\n", 1)]
#[case("select 1; select 2", 2)]
#[case(" ; /* nothing */ ", 0)]
fn semicolons_in_strings_and_comments_do_not_split(#[case] text: &str, #[case] count: usize) {
    assert_eq!(split(text.as_bytes()).len(), count);
}

/// Guards against SQL injection through values. A placeholder inside a string stays unchanged.
#[test]
fn inlined_values_are_escaped() {
    let param = Param { value: Some(b"x'; drop table t; --".to_vec()), ..Param::default() };
    let statement = Statement { text: b"select $1, '$1'".to_vec(), params: vec![param], results: Vec::new() };
    assert_eq!(statement.inlined().unwrap(), b"select 'x''; drop table t; --', '$1'");
}
