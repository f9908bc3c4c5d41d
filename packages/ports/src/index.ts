export * from './findPorts'
