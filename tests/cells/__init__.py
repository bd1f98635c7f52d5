"""Contains the tests of `trackspread.cells`."""
