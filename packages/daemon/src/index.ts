/**
 * persimmonhatchd, the program on every entry VM.
 *
 * @module
 */
export {}
