export * from './ControlDocument'
