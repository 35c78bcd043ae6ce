/**
 * Pure core: the owner of a request, its identity and its single dispatch.
 *
 * @module
 */
export {}
