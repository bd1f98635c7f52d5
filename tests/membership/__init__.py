"""Contains the tests of `trackspread.membership`."""
