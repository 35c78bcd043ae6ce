/**
 * Ports and adapters for the platform: key-value service and list of VMs.
 *
 * @module
 */
export * as keyValue from './key-value.js'
export * as vmList from './vm-list.js'
