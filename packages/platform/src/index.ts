/**
 * Ports and adapters for the platform: key-value service and list of VMs.
 *
 * @module
 */
export {}
